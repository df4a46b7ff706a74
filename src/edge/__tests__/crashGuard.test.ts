import { describe, expect, it } from 'vitest'
import { createCrashAttribution } from '../../upstream/crashAttribution'
import type { Attempt } from '../attempt'
import { createCrashGuard, type CrashGuard } from '../crashGuard'
import { createCrashReports, type CrashReports } from '../crashReports'

function createReports (): CrashReports {
  return createCrashReports({
    attribution: createCrashAttribution(),
    broadcast: () => {},
    instance: 'router-1',
    peers: () => [],
    probe: async () => true,
    now: () => 0,
    log: () => {},
    onFault (error) { throw error }
  })
}

function createGuard (reports: CrashReports, content: string): CrashGuard {
  return createCrashGuard(reports, {
    callerRequest: {
      model: 'small', promptSegments: ['first', 'dead', content].map((identifier) => ({ identifier, tokens: 10 }))
    },
    customer: 'shop',
    method: 'POST',
    path: '/',
    body: Buffer.from(content)
  })
}

function attemptAt (engine: number, values: Partial<Attempt> = {}): Attempt {
  const entry = { identifier: `engine-${engine}`, startedAt: 1, service: 'engines', endpoint: { host: '127.0.0.1', port: 1 } }
  return { upstream: { entry }, firstByteAt: undefined, isSurvived: false, ...values } as unknown as Attempt
}

async function passProbe (): Promise<void> {
  await new Promise((resolve) => { setImmediate(resolve) })
}

describe('repeating a request whose connection broke before its response began', () => {
  it('is permitted after one loss, and not after a second one at another upstream', async () => {
    const reports = createReports()
    const guard = createGuard(reports, 'a')
    guard.recordLoss(attemptAt(1), 0)
    expect(guard.mayCrashAgain(0)).toBe(false)
    await passProbe()
    guard.recordLoss(attemptAt(2), 140)
    expect(guard.mayCrashAgain(140)).toBe(true)
  })

  it('is not permitted after the first loss if another request with the part has lost another upstream', async () => {
    const reports = createReports()
    createGuard(reports, 'a').recordLoss(attemptAt(1), 0)
    await passProbe()
    const guard = createGuard(reports, 'b')
    guard.recordLoss(attemptAt(2), 50)
    expect(guard.mayCrashAgain(50)).toBe(true)
  })

  it.each<[string, (guard: CrashGuard, now: number) => void]>([
    ['a complete response', (guard, now) => { guard.recordAnswer(attemptAt(3), now) }],
    ['half a second of a stream', (guard, now) => { guard.recordProgress(attemptAt(3, { firstByteAt: now - 500 }), now) }]
  ])('is permitted again after %s', async (_title, recordSuccess) => {
    const reports = createReports()
    createGuard(reports, 'a').recordLoss(attemptAt(1), 0)
    await passProbe()
    recordSuccess(createGuard(reports, 'c'), 600)
    const guard = createGuard(reports, 'b')
    guard.recordLoss(attemptAt(2), 700)
    expect(guard.mayCrashAgain(700)).toBe(false)
  })

  it('does not charge a request that the upstream had survived', async () => {
    const reports = createReports()
    createGuard(reports, 'a').recordLoss(attemptAt(1, { isSurvived: true }), 0)
    await passProbe()
    const guard = createGuard(reports, 'b')
    guard.recordLoss(attemptAt(2), 50)
    expect(guard.mayCrashAgain(50)).toBe(false)
  })
})
