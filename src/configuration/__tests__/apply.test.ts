import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { OutcomeUnknownError, PlatformUnavailableError, RevisionConflictError } from '../../errors'
import { createFakePlatform, type Fault } from '../../platform/__tests__/fakePlatform'
import type { FleetConfiguration } from '../../types'
import { applyConfiguration, readCurrentConfiguration } from '../apply'
import { createConfigurationTask } from '../configurationTask'
import { createRevisionTracker } from '../revisionTracker'

function fleet (rate: number): FleetConfiguration {
  return { dataCentres: [{ name: 'south', weight: 1 }], customers: [{ name: 'bakery', rate, burst: 1, weight: 1 }], models: [], routes: [] }
}
const faultArbitrary = fc.constantFrom<Fault>('none', 'none', 'unavailable', 'lostBefore', 'lostAfter')

describe('apply', () => {
  it('accepts only one of two concurrent applies and keeps its object', async () => {
    const platform = createFakePlatform()
    const results = await Promise.allSettled([
      applyConfiguration(platform, fleet(1), 0, 'a', 0), applyConfiguration(platform, fleet(2), 0, 'b', 0)
    ])
    const winner = results.findIndex(result => result.status === 'fulfilled')
    expect(results[1 - winner]).toMatchObject({ reason: expect.any(RevisionConflictError) })
    expect(await readCurrentConfiguration(platform)).toEqual({ revision: 1, configuration: fleet(winner + 1) })
  })

  it('never reports a wrong outcome when responses are lost and other operators apply later', async () => {
    await fc.assert(fc.asyncProperty(
      fc.array(faultArbitrary, { maxLength: 6 }), fc.array(faultArbitrary, { maxLength: 4 }),
      fc.integer({ min: 0, max: 3 }),
      async (writeFaults, readFaults, laterChanges) => {
        const platform = createFakePlatform()
        await applyConfiguration(platform, fleet(1), 0, 'first', 0)
        platform.writeFaults = ['none', ...writeFaults]
        platform.readFaults = ['none', ...readFaults]
        const outcome = await applyConfiguration(platform, fleet(2), 1, 'tested', 0).catch((error: unknown) => error)
        platform.writeFaults = []
        platform.readFaults = []
        for (let index = 0; index < laterChanges; index++) {
          const current = await readCurrentConfiguration(platform)
          await applyConfiguration(platform, fleet(10 + index), current!.revision, `rival ${index}`, 0)
        }
        const row = platform.rows('configuration')[0]!.value
        const operations = [row.operation, ...row.history.map((entry: { operation: string }) => entry.operation)]
        if (!(outcome instanceof Error)) expect(operations).toContain('tested')
        else if (outcome instanceof PlatformUnavailableError) expect(operations).not.toContain('tested')
        else expect(outcome).toBeInstanceOf(OutcomeUnknownError)
      }))
  })

  it('finds its own change in the history after a lost response and a later change', async () => {
    const platform = createFakePlatform()
    platform.writeFaults = ['none', 'lostAfter']
    const originalReadRow = platform.readRow
    let reads = 0
    platform.readRow = async (table, key, options) => {
      if (++reads === 2) await applyConfiguration({ ...platform, readRow: originalReadRow }, fleet(9), 1, 'rival', 0)
      return await originalReadRow(table, key, options)
    }
    expect(await applyConfiguration(platform, fleet(1), 0, 'tested', 0)).toMatchObject({ revision: 1 })
  })
})

describe('revision tracker and task', () => {
  it('keeps the highest revision in any order of arrival', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: -1, max: 20 })), (revisions) => {
      const tracker = createRevisionTracker()
      const accepted: number[] = []
      tracker.onAccepted(({ revision }) => accepted.push(revision))
      for (const revision of revisions) tracker.offer({ revision, configuration: fleet(1) })
      expect(tracker.revision()).toBe(Math.max(0, ...revisions))
      expect(accepted).toEqual([...new Set(accepted)].sort((left, right) => left - right))
    }))
  })

  it('accepts a new revision, ignores a lagging replica and recovers from an outage', async () => {
    const platform = createFakePlatform()
    const tracker = createRevisionTracker()
    const task = createConfigurationTask({ platform, tracker })
    await task.tick(0)
    expect(tracker.revision()).toBe(0)
    await applyConfiguration(platform, fleet(1), 0, 'a', 0)
    platform.readFaults = ['unavailable']
    await task.tick(1)
    expect(task.lastError()).toBeInstanceOf(PlatformUnavailableError)
    await task.tick(2)
    expect(tracker.current()).toEqual({ revision: 1, configuration: fleet(1) })
    tracker.offer({ revision: 5, configuration: fleet(5) })
    await task.tick(3)
    expect(tracker.revision()).toBe(5)
  })
})
