/** Runs random transactions, reads and faults against the HTTP client and compares the results with a map. */
import fc from 'fast-check'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { startPlatformServer } from '../../../standins/platform/server'
import type { PlatformServer } from '../../../standins/platform/server'
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../../errors'
import { createHttpPlatformClient } from '../httpPlatformClient'
import type { PlatformClient } from '../types'

interface Step {
  /** Keys of the rows, and whether the writer expects the current version. */
  conditions: Array<{ key: string, isCurrent: boolean }>
  writes: Array<{ key: string, value: number | undefined }>
  fault: 'none' | 'lost' | 'outage'
}

const key = fc.constantFrom('a', 'a/b', 'c d', 'é')
const steps = fc.array(fc.record<Step>({
  conditions: fc.uniqueArray(fc.record({ key, isCurrent: fc.boolean() }), { selector: (entry) => entry.key }),
  writes: fc.uniqueArray(fc.record({ key, value: fc.option(fc.nat(9), { nil: undefined }) }), {
    selector: (entry) => entry.key
  }),
  fault: fc.constantFrom('none', 'none', 'lost', 'outage')
}), { maxLength: 12 })

let server: PlatformServer
let client: PlatformClient
let tables = 0
beforeAll(async () => {
  server = await startPlatformServer()
  client = createHttpPlatformClient({ endpoint: server.endpoint })
})
afterAll(async () => {
  await client.close()
  await server.close()
})

/** Returns the error class that a step is expected to fail with, or undefined if it succeeds. */
function expectedError (step: Step): unknown {
  if (step.fault === 'outage') return PlatformUnavailableError
  if (step.conditions.some((condition) => !condition.isCurrent)) return TransactionConflictError
  return step.fault === 'lost' ? OutcomeUnknownError : undefined
}

it('every error reports correctly whether the write took effect', async () => {
  await fc.assert(fc.asyncProperty(steps, async (sequence) => {
    const table = `table-${++tables}`
    const rows = new Map<string, { value: number, version: number }>()
    for (const step of sequence) {
      const expected = expectedError(step)
      Object.assign(server.faults, { outage: step.fault === 'outage', loseAnswers: step.fault === 'lost' ? 1 : 0 })
      const error: unknown = await client.commit({
        identifier: 'step',
        conditions: step.conditions.map((condition) => {
          const version = rows.get(condition.key)?.version ?? 0
          return { table, key: condition.key, version: condition.isCurrent ? version : version + 1_000_000 }
        }),
        writes: step.writes.map((write) => ({ table, ...write }))
      }).then(() => undefined, (failure: unknown) => failure)
      Object.assign(server.faults, { outage: false, loseAnswers: 0 })
      expect((error as Error | undefined)?.constructor).toBe(expected)

      const read = await client.readTable<number>(table)
      const tookEffect = expected === undefined || expected === OutcomeUnknownError
      for (const write of tookEffect ? step.writes : []) {
        const version = read.find((row) => row.key === write.key)?.version ?? 0
        if (write.value === undefined) rows.delete(write.key)
        else rows.set(write.key, { value: write.value, version })
      }
      const sorted = [...rows].sort(([left], [right]) => left < right ? -1 : 1)
      expect(read).toEqual(sorted.map(([rowKey, row]) => ({ key: rowKey, ...row })))
    }
  }), { numRuns: 60 })
})
