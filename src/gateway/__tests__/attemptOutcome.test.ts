import { describe, expect, it } from 'vitest'
import type { CrashNotice } from '../../peer/messages'
import { connectionError, timeoutError } from '../../upstream/attempt'
import { createCrashLedger } from '../../upstream/crashLedger'
import { createUpstreamRegistry } from '../../upstream/registry'
import type { Incarnation } from '../../types'
import { createAttemptOutcomes } from '../attemptOutcome'

const TARGET = { upstream: 'engine-1', endpoint: { host: '127.0.0.1', port: 1 }, incarnation: 7 }

type ProbeResult = Incarnation | Error

/** Fails an attempt on an upstream whose probes return the given results in order. The last result is repeated. */
async function failAttempt (results: readonly ProbeResult[]): Promise<{ notices: CrashNotice[], probes: number }> {
  const notices: CrashNotice[] = []
  const crashes = createCrashLedger()
  let probes = 0
  const outcomes = createAttemptOutcomes({
    client: {
      async probe () {
        const result = results[Math.min(probes, results.length - 1)]!
        probes += 1
        if (result instanceof Error) throw result
        return result
      },
      async cancel () {}
    },
    registry: createUpstreamRegistry({ dataCentre: 'north', hasRoom: () => true, onEvent () {} }),
    crashes,
    publishCrashes: (published) => { notices.push(...published) },
    reportFault: (error) => { throw error },
    log () {},
    metrics: { increment () {}, gauge () {}, timing () {} },
    now: () => performance.now()
  })
  const handle = crashes.started('fingerprint', TARGET.upstream, TARGET.incarnation)
  await outcomes.handleFailure('request-1', 1, TARGET, handle, connectionError('connection lost', 'maybeStarted'))
  return { notices, probes }
}

const refused = connectionError('connection refused', 'notSent')
const reset = connectionError('connection reset', 'maybeStarted')
const silent = timeoutError('answer', 'maybeStarted')

describe('crash detection after a lost connection', () => {
  it.each<{ name: string, results: ProbeResult[], crashes: number }>([
    { name: 'a refused connection counts as a crash', results: [refused], crashes: 1 },
    { name: 'a response of another process counts as a crash', results: [8], crashes: 1 },
    { name: 'a response of the same process does not count as a crash', results: [7], crashes: 0 },
    { name: 'an upstream that does not respond does not count as crashed', results: [silent], crashes: 0 },
    // The connections of a dying process may be closed before its listener.
    { name: 'a reset probe is repeated until the listener is closed', results: [reset, reset, refused], crashes: 1 },
    { name: 'a reset probe is repeated until another process responds', results: [reset, 8], crashes: 1 },
    { name: 'a reset probe of a running process does not count as a crash', results: [reset, 7], crashes: 0 }
  ])('$name', async ({ results, crashes }) => {
    const { notices, probes } = await failAttempt(results)
    expect(notices).toHaveLength(crashes)
    expect(probes).toBe(results.length)
  })

  it('stops probing an upstream that resets every connection', async () => {
    const startedAt = performance.now()
    const { notices } = await failAttempt([reset])
    expect(notices).toHaveLength(0)
    expect(performance.now() - startedAt).toBeLessThan(1500)
  })
})
