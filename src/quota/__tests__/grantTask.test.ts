import { describe, expect, it } from 'vitest'
import { QUOTA_UNITS } from '../../constants'
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../../errors'
import type { PlatformClient, TableRow, Transaction } from '../../platform/types'
import { createQuotaAccounts } from '../accounts'
import { createGrantTask } from '../grantTask'
import type { DataCentreQuota } from '../types'

/** Creates the quota rows of one data centre; each commit first fails with the next of `failures`, if any is left. */
function createRows (
  failures: Error[]
): { platform: Pick<PlatformClient, 'readRow' | 'commit'>, row: () => DataCentreQuota } {
  const rows = new Map<string, TableRow>()
  let version = 0
  return {
    row: () => rows.get('north')!.value as DataCentreQuota,
    platform: {
      readRow: async <Value>(_table: string, key: string) => rows.get(key) as TableRow<Value> | undefined,
      async commit ({ writes }: Transaction) {
        const failure = failures.shift()
        if (failure !== undefined) throw failure
        version += 1
        for (const { key, value } of writes) rows.set(key, { key, value, version })
        return { version }
      }
    } as Pick<PlatformClient, 'readRow' | 'commit'>
  }
}

const unitsOf = ({ grants }: DataCentreQuota, instance: string): number =>
  grants.filter((grant) => grant.instance === instance).reduce((sum, { units }) => sum + units, 0)

describe('units above the share of an instance', () => {
  it.each([
    { name: 'no failure', failure: undefined },
    { name: 'a conflict with another writer', failure: new TransactionConflictError('conflicting write') },
    { name: 'a write while the platform is unavailable', failure: new PlatformUnavailableError('unavailable') },
    { name: 'a write whose outcome is unknown', failure: new OutcomeUnknownError('response lost') }
  ])('are returned once a peer has started, after $name', async ({ failure }) => {
    const failures: Error[] = []
    const { platform, row } = createRows(failures)
    let time = 0
    const live = ['router-1']
    const accounts = createQuotaAccounts()
    accounts.setLimits([{ customer: 'acme', rate: 1000, burst: 2000 }], 0)
    const task = createGrantTask({
      platform,
      accounts,
      self: { instance: 'router-1', incarnation: 1, address: 'router-1:1', dataCentre: 'north' },
      weights: () => new Map([['north', 1]]),
      liveInstances: () => live,
      clock: () => time,
      random: () => 0.5
    })
    await task.tick(time)
    expect(unitsOf(row(), 'router-1')).toBeCloseTo(QUOTA_UNITS)

    live.push('router-2')
    if (failure !== undefined) failures.push(failure)
    time += 1000
    const { delay } = await task.tick(time)
    if (unitsOf(row(), 'router-1') > QUOTA_UNITS * 0.6) {
      // The next call is due soon rather than at the regular renewal.
      expect(delay).toBeLessThan(2000)
      time += delay
      await task.tick(time)
    }
    expect(unitsOf(row(), 'router-1')).toBeCloseTo(QUOTA_UNITS / 2)
  })
})
