import { describe, expect, it } from 'vitest'
import { ListenerState } from '../../http/listeningProbe'
import { createCrashAttribution } from '../../upstream/crashAttribution'
import type { Attempt } from '../attempt'
import { createCrashGuard, type CrashGuard } from '../crashGuard'
import { createCrashReports, type CrashReports } from '../crashReports'
import type { TrialPermits } from '../trialPermits'

/** Number of permits that were returned. */
let released = 0
/** Hands out every permit. */
const trialPermits: TrialPermits = {
  endTrials () {},
  waitFor: async () => ({ release () { released += 1 } }),
  handleRequest: async () => ({})
}

function createReports (): CrashReports {
  return createCrashReports({
    attribution: createCrashAttribution(),
    broadcast: () => {},
    instance: 'router-1',
    peers: () => [],
    directory: { get: () => undefined },
    probe: async () => ListenerState.closed,
    onTrialsFailed () {},
    now: () => 0,
    log: () => {},
    onFault (error) { throw error }
  })
}

function createGuard (reports: CrashReports, content: string): CrashGuard {
  return createCrashGuard({ crashReports: reports, trialPermits, now: () => ({ steady: 0, wall: 0 }) }, {
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

  // Guards against a request given up at a silent upstream that is then not sent to another one.
  it('is ruled out before the attempt is given up if another upstream has crashed with it', async () => {
    const reports = createReports()
    createGuard(reports, 'a').recordLoss(attemptAt(1), 0)
    await passProbe()
    const guard = createGuard(reports, 'b')
    expect(guard.mayCrashAgain(50)).toBe(false)
    expect(guard.mayCrashAgain(50, attemptAt(2))).toBe(true)
    expect(guard.mayCrashAgain(50, attemptAt(2, { isSurvived: true }))).toBe(false)
    guard.recordSilence(attemptAt(2), 50)
    expect(guard.mayCrashAgain(50)).toBe(true)
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

describe('a request with a trait that is convicted', () => {
  const TRIAL_MS = 60_000

  /** Returns reports with a conviction at 3 s. */
  async function createConvicted (): Promise<CrashReports> {
    const reports = createReports()
    for (const [index, content] of ['a', 'b', 'c', 'd'].entries()) {
      createGuard(reports, content).recordLoss(attemptAt(index), index * 500)
      await passProbe()
    }
    reports.check(3000)
    return reports
  }

  it('is rejected, and withdrawn where it waits at an upstream', async () => {
    const reports = await createConvicted()
    const guard = createGuard(reports, 'e')
    expect(guard.findConviction(false, 3000)).toMatchObject({ trait: 'part/small/dead', retryAfter: TRIAL_MS })
    expect(guard.mustWithdraw(attemptAt(5), 3000)).toBe(true)
    expect(guard.mustWithdraw(attemptAt(5, { firstByteAt: 2900 }), 3000)).toBe(false)
  })

  it('is tried once after a while, and not again for longer if the connection breaks', async () => {
    const reports = await createConvicted()
    const now = 3000 + TRIAL_MS
    const trial = createGuard(reports, 'e')
    expect(trial.findConviction(false, now)).toBeUndefined()
    expect(trial.mustWithdraw(attemptAt(5), now)).toBe(false)
    expect(createGuard(reports, 'f').findConviction(false, now)).toBeDefined()
    trial.recordLoss(attemptAt(5), now + 100)
    expect(trial.mayCrashAgain(now + 100)).toBe(true)
    expect(createGuard(reports, 'g').findConviction(false, now + TRIAL_MS)).toBeDefined()
  })

  it('is not tried if an upstream may have run it', async () => {
    const reports = await createConvicted()
    expect(createGuard(reports, 'e').findConviction(true, 3000 + TRIAL_MS)).toBeDefined()
  })
})

describe('a request with several suspect traits', () => {
  it('needs a permit for each of them, and returns them at its end', async () => {
    const reports = createReports()
    for (const [index, content] of ['a', 'a'].entries()) {
      createGuard(reports, content).recordLoss(attemptAt(index), index * 40)
      await passProbe()
    }
    const guard = createGuard(reports, 'a')
    const asked: string[] = []
    for (let trait = guard.missingPermit(500); trait !== undefined; trait = guard.missingPermit(500)) {
      asked.push(trait)
      expect(guard.isBlocked(500)).toBe(true)
      expect(await guard.waitForPermit(trait, 100)).toBe(true)
    }
    expect(asked).toHaveLength(3)
    expect(asked).toContain('part/small/dead')
    expect(guard.isBlocked(500)).toBe(false)
    const before = released
    guard.releasePermits(false)
    expect(released - before).toBe(3)
  })
})
