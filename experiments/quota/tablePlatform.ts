/** Table of the platform in memory, with delays, lost answers and outages, on simulated time. */
import { InternalError, OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../../src/errors'
import type { PlatformClient, TableRow, Transaction } from '../../src/platform/types'
import type { RandomSource } from '../../src/types'
import type { EventQueue } from './eventQueue'

export interface TableFaults {
  /** Part of the commits whose answer is lost after they took effect. */
  lostAnswers: number
  /** Part of the commits that take effect only after their sender was told that the outcome is unknown. */
  lateCommits: number
}

export interface TablePlatform {
  faults: TableFaults
  /** Client of one instance. `isReachable` tells whether its network reaches the platform. */
  clientFor: (isReachable: () => boolean) => Pick<PlatformClient, 'readRow' | 'commit'>
  row: <Value>(key: string) => Value | undefined
}

/** One way between an instance and the platform, in milliseconds. */
const LATENCY_MS = 2

/** After this time without an answer a client gives up. */
const TIMEOUT_MS = 1000

// One object for all failures; taking a stack trace for each would cost most of the time of a trial.
const unavailable = new PlatformUnavailableError('the platform does not answer')

const unknown = new OutcomeUnknownError('the answer was lost')

export function createTablePlatform (events: EventQueue, random: RandomSource): TablePlatform {
  const rows = new Map<string, TableRow>()
  const faults: TableFaults = { lostAnswers: 0, lateCommits: 0 }
  let version = 0

  function apply ({ conditions, writes }: Transaction): number {
    for (const { table, key, version: expected } of conditions) {
      if ((rows.get(`${table}/${key}`)?.version ?? 0) !== expected) throw new TransactionConflictError('another writer was first')
    }
    version += 1
    for (const { table, key, value } of writes) {
      rows.set(`${table}/${key}`, { key, value: structuredClone(value), version })
    }
    return version
  }

  /** Runs `work` at the platform and passes its result back, each after the latency. */
  function call<Result> (
    isReachable: () => boolean, work: () => Result, lostAnswer: Error
  ): Promise<Result> {
    return new Promise((resolve, reject) => {
      const fail = (error: Error): void => {
        events.after(TIMEOUT_MS, () => { events.settle(() => { reject(error) }) })
      }
      if (!isReachable()) {
        fail(unavailable)
        return
      }
      events.after(LATENCY_MS, () => {
        if (!isReachable()) {
          fail(unavailable)
          return
        }
        let answer: () => void
        try {
          const result = work()
          answer = () => { events.settle(() => { resolve(result) }) }
        } catch (caught) {
          const error = caught instanceof Error ? caught : new InternalError('not an error', { cause: caught })
          answer = () => { events.settle(() => { reject(error) }) }
        }
        events.after(LATENCY_MS, () => {
          if (isReachable()) answer()
          else fail(lostAnswer)
        })
      })
    })
  }

  return {
    faults,
    row: <Value>(key: string) => rows.get(key)?.value as Value | undefined,
    clientFor: (isReachable) => ({
      readRow: <Value>(table: string, key: string) => call(
        isReachable,
        () => structuredClone(rows.get(`${table}/${key}`)) as TableRow<Value> | undefined,
        unavailable
      ),
      commit (transaction) {
        const draw = random()
        if (draw < faults.lateCommits) {
          events.after(1500 * random(), () => {
            try {
              if (isReachable()) apply(transaction)
            } catch (error) {
              if (!(error instanceof TransactionConflictError)) throw error
            }
          })
          return new Promise((_resolve, reject) => {
            events.after(LATENCY_MS, () => { events.settle(() => { reject(unknown) }) })
          })
        }
        const isLost = draw < faults.lateCommits + faults.lostAnswers
        return call(isReachable, () => {
          const result = { version: apply(transaction) }
          if (isLost) throw unknown
          return result
        }, unknown)
      }
    })
  }
}
