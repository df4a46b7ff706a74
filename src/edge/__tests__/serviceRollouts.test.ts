import { describe, expect, it } from 'vitest'
import { createServiceRollouts, parseRolloutUpdate, type RolloutObservations, type ServiceRollouts } from '../serviceRollouts'
import { eraPosition } from '../storeEra/storeEra'
import { ServiceRolloutState, type ServiceRolloutRequest } from '../types'
import { createEntry, createUpstreams } from './fixtures'

const DURATION_MS = 16_000
const [old1, old2, new1, new2] = createUpstreams([
  createEntry('old-1'), createEntry('old-2'),
  createEntry('new-1', { softwareVersion: 'v2' }), createEntry('new-2', { softwareVersion: 'v2' })
]) as [ReturnType<typeof createUpstreams>[number], ...ReturnType<typeof createUpstreams>]
const ALL = [old1!, old2!, new1!, new2!]
const HEALTHY: RolloutObservations = {
  fault: undefined, isHealthy: true, oldInFlight: 3, oldUpstreams: 2, newUpstreams: 2
}

function createRollout (): ServiceRollouts {
  const moves = createServiceRollouts()
  moves.addRequest({ service: 'engines', toVersion: 'v2', duration: DURATION_MS }, 10, 0)
  return moves
}

function namesFor (moves: ServiceRollouts, draw: number, now: number, upstreams = ALL): string[] {
  return moves.eligible('engines', upstreams, draw, now).map(({ entry }) => entry.identifier)
}

function update (state: ServiceRolloutState, share: number): Parameters<ServiceRollouts['applyUpdate']>[0] {
  return { service: 'engines', toVersion: 'v2', state, share, reported: false }
}

describe('upstreams that a request may use', () => {
  it.each<[string, (moves: ServiceRollouts) => void, number, number, string[]]>([
    ['the old version before the first update', () => {}, 0, 100, ['old-1', 'old-2']],
    ['the new version for requests within its share', (moves) => { moves.applyUpdate(update(ServiceRolloutState.running, 0.3), 0) }, 0.29, 100, ['new-1', 'new-2']],
    ['the old version for requests outside the share', (moves) => { moves.applyUpdate(update(ServiceRolloutState.running, 0.3), 0) }, 0.31, 100, ['old-1', 'old-2']],
    ['the old version after a while without updates', (moves) => { moves.applyUpdate(update(ServiceRolloutState.running, 1), 0) }, 0, 2500, ['old-1', 'old-2']],
    ['the new version of a completed rollout, also without updates', (moves) => { moves.applyUpdate(update(ServiceRolloutState.completed, 1), 0) }, 0.99, 60_000, ['new-1', 'new-2']],
    ['the old version after a rollback', (moves) => { moves.applyUpdate(update(ServiceRolloutState.rolledBack, 0), 0) }, 0, 60_000, ['old-1', 'old-2']],
    ['the old version if a late update arrives after the end', (moves) => {
      moves.applyUpdate(update(ServiceRolloutState.rolledBack, 0), 0)
      moves.applyUpdate(update(ServiceRolloutState.running, 1), 10)
    }, 0, 100, ['old-1', 'old-2']],
    ['the old version if an update concerns another version', (moves) => {
      moves.applyUpdate({ ...update(ServiceRolloutState.running, 1), toVersion: 'v3' }, 0)
    }, 0, 100, ['old-1', 'old-2']]
  ])('%s', (_title, prepare, draw, now, expected) => {
    const moves = createRollout()
    prepare(moves)
    expect(namesFor(moves, draw, now)).toEqual(expected)
  })

  it('include the other version if the preferred one has no upstream, but never a version that was rolled back', () => {
    const moves = createRollout()
    expect(namesFor(moves, 0.5, 100, [new1!])).toEqual(['new-1'])
    moves.applyUpdate(update(ServiceRolloutState.rolledBack, 0), 0)
    expect(namesFor(moves, 0.5, 100, [new1!])).toEqual([])
  })

  it('are all upstreams without a rollout', () => {
    expect(namesFor(createServiceRollouts(), 0, 0)).toHaveLength(4)
  })
})

describe('steps of the lease holder', () => {
  /** Simulates a rollout with the given observations; returns the steps with their times. */
  function simulate (facts: (now: number, share: number) => RolloutObservations): Array<[number, string]> {
    const moves = createRollout()
    let share = 0
    const steps: Array<[number, string]> = []
    for (let now = 0; now <= DURATION_MS; now += 250) {
      const step = moves.nextStep('engines', facts(now, share), now)
      if (step === undefined) continue
      if (step.kind === 'share') {
        share = step.share
        moves.setShare('engines', share, now)
      } else {
        share = step.kind === 'complete' ? 1 : 0
        moves.end('engines', step.kind === 'complete' ? ServiceRolloutState.completed : ServiceRolloutState.rolledBack)
      }
      steps.push([now, step.kind === 'share' ? `share ${step.share}` : step.kind])
    }
    return steps
  }

  it('complete the rollout of a healthy version within two thirds of its duration', () => {
    const steps = simulate((_now, share) => ({ ...HEALTHY, oldInFlight: share === 1 ? 0 : 3 }))
    expect(steps.map(([, step]) => step)).toEqual(['share 0.08', 'share 0.25', 'share 0.5', 'share 1', 'complete'])
    expect(steps.at(-1)![0]).toBeLessThan(DURATION_MS * 2 / 3)
  })

  it('wait for requests on the old version, but not for unreachable instances', () => {
    const [full, complete] = simulate(() => ({ ...HEALTHY, oldInFlight: undefined })).slice(-2)
    expect(full![1]).toBe('share 1')
    expect(complete![0] - full![0]).toBeGreaterThanOrEqual(DURATION_MS / 4)
  })

  it('observe the new version under all traffic for a while before the old one stops', () => {
    const [full, complete] = simulate(() => ({ ...HEALTHY, oldInFlight: 0 })).slice(-2)
    expect(full![1]).toBe('share 1')
    expect(complete![0] - full![0]).toBeGreaterThanOrEqual(1500)
  })

  it('roll back a version whose fault shows only under all traffic', () => {
    let fullAt: number | undefined
    const steps = simulate((now, share) => {
      if (share === 1) fullAt ??= now
      // A fault is detected within one and a half seconds.
      const isSeen = fullAt !== undefined && now - fullAt >= 1500
      return { ...HEALTHY, oldInFlight: 0, isHealthy: fullAt === undefined, fault: isSeen ? 'slow on route chat' : undefined }
    })
    expect(steps.at(-1)![1]).toBe('takeBack')
  })

  it('expose less than a tenth of the traffic to a version whose fault shows at any lower share', () => {
    for (const faultAt of [0.08, 0.25, 0.5]) {
      let at = 0
      let met = 0
      simulate((now, share) => {
        if (share === faultAt && at === 0) at = now
        met += share * 250 / DURATION_MS
        // A fault is detected within one and a half seconds.
        return { ...HEALTHY, isHealthy: share < faultAt, fault: at > 0 && now - at >= 1500 ? 'failures' : undefined }
      })
      expect(met).toBeLessThan(0.1)
    }
  })

  it.each<[string, Partial<RolloutObservations>, string[]]>([
    ['none without upstreams of the new version', { newUpstreams: 0 }, []],
    ['no full share with too few upstreams of the new version', { newUpstreams: 1, oldUpstreams: 2 }, ['share 0.08', 'share 0.25', 'share 0.5']],
    ['no higher share while the evidence leans towards a fault', { isHealthy: false }, ['share 0.08']],
    ['a rollback if there is a fault from the start', { fault: 'failures on route chat' }, ['takeBack']]
  ])('%s', (_title, facts, expected) => {
    expect(simulate(() => ({ ...HEALTHY, ...facts })).map(([, step]) => step)).toEqual(expected)
  })
})

describe('the lease holder', () => {
  /** Time in milliseconds after which an instance without updates returns to the old version. */
  const UPDATE_TIMEOUT_MS = 2100

  it('applies the share that it set for as long as it renews it', () => {
    const moves = createRollout()
    moves.setShare('engines', 1, 0)
    for (let now = 0; now <= 10_000; now += 250) {
      moves.renewShares(now)
      expect(namesFor(moves, 0.99, now)).toEqual(['new-1', 'new-2'])
    }
    expect(namesFor(moves, 0.99, 10_000 + UPDATE_TIMEOUT_MS)).toEqual(['old-1', 'old-2'])
  })

  it.each<[string, number, number, string[]]>([
    ['observes a recently received share before it sets the next one', 0.25, 10, ['share 0.5']],
    ['keeps the first share for as long as the previous holder had to', 0.08, 10, ['share 0.25']],
    ['starts with the first share if all instances have returned to the old version', 0.5, UPDATE_TIMEOUT_MS, ['share 0.08', 'share 0.25']]
  ])('that has just taken over: %s', (_title, receivedShare, takenOverAt, expected) => {
    const moves = createRollout()
    moves.applyUpdate(update(ServiceRolloutState.running, receivedShare), 0)
    moves.takeOver('engines', takenOverAt)
    const steps: string[] = []
    const end = takenOverAt + DURATION_MS * 0.2
    for (let now = takenOverAt; now <= end; now += 10) {
      const step = moves.nextStep('engines', HEALTHY, now)
      if (step?.kind !== 'share') continue
      if (step.share > 0.08) expect(now - takenOverAt).toBeGreaterThanOrEqual(1500)
      moves.setShare('engines', step.share, now)
      steps.push(`share ${step.share}`)
    }
    expect(steps.slice(0, expected.length)).toEqual(expected)
  })

  it('does not raise the share that other instances apply when it takes over the rollout', () => {
    const moves = createRollout()
    moves.applyUpdate(update(ServiceRolloutState.running, 0.5), 0)
    moves.takeOver('engines', UPDATE_TIMEOUT_MS)
    moves.renewShares(UPDATE_TIMEOUT_MS)
    expect(moves.updates()).toEqual([update(ServiceRolloutState.running, 0)])
  })
})

describe('the stored status', () => {
  it.each<[string, ServiceRolloutState | undefined, number, boolean]>([
    ['completed for this request', ServiceRolloutState.completed, 11, false],
    ['rolled back for this request', ServiceRolloutState.rolledBack, 11, false],
    ['running', ServiceRolloutState.running, 11, true],
    ['of an earlier request', ServiceRolloutState.completed, 9, true],
    ['none', undefined, 0, true]
  ])('%s', (_title, state, rowVersion, moving) => {
    const moves = createRollout()
    moves.applyStoredStatus('engines', state && { service: 'engines', toVersion: 'v2', state }, rowVersion)
    expect(moves.isRollingOut('engines')).toBe(moving)
  })

  it('a final state that is not stored yet remains pending, whichever instance holds the lease', () => {
    const moves = createRollout()
    moves.applyUpdate(update(ServiceRolloutState.rolledBack, 0), 0)
    expect(moves.pending()).toEqual(['engines'])
    moves.applyStoredStatus('engines', { service: 'engines', toVersion: 'v2', state: ServiceRolloutState.running }, 11)
    expect(moves.finalState('engines')).toBe(ServiceRolloutState.rolledBack)
    expect(moves.pending()).toEqual(['engines'])
    moves.applyUpdate({ ...update(ServiceRolloutState.rolledBack, 0), reported: true }, 10)
    expect(moves.pending()).toEqual([])
  })

  it('a later request for the same version starts a new rollout', () => {
    const moves = createRollout()
    moves.end('engines', ServiceRolloutState.rolledBack)
    expect(moves.addRequest({ service: 'engines', toVersion: 'v2', duration: 1 }, 12, 0)).toBe(true)
    expect(moves.pending()).toEqual(['engines'])
  })
})

describe('a rollout over a change of the store\'s era', () => {
  const request = (toVersion: string): ServiceRolloutRequest => ({ service: 'engines', toVersion, duration: DURATION_MS })
  const stored = { service: 'engines', toVersion: 'v2', state: ServiceRolloutState.completed }
  /** A completed and reported rollout to v2, after one to v1, in era 1; then era 2 begins. */
  function completedBefore (): ServiceRollouts {
    const moves = createServiceRollouts()
    moves.addRequest(request('v1'), eraPosition(1, 5), 0)
    moves.addRequest(request('v2'), eraPosition(1, 10), 0)
    moves.end('engines', ServiceRolloutState.completed)
    moves.markReported('engines')
    moves.startNewEra()
    return moves
  }

  it.each<[string, ServiceRolloutRequest, number, boolean, boolean]>([
    ['its own row in the copy starts nothing', request('v2'), 10, true, false],
    ['its own row, written again, starts nothing', request('v2'), 7, false, false],
    ['an earlier row in the copy starts nothing', request('v1'), 5, true, false],
    ['an earlier request, written in the new era, starts a rollout', request('v1'), 7, false, true],
    ['a request that is not known starts a rollout', request('v3'), 7, true, true]
  ])('%s', (_title, next, rowVersion, isRestored, starts) => {
    const moves = completedBefore()
    expect(moves.addRequest(next, eraPosition(2, rowVersion), 0, isRestored)).toBe(starts)
    expect(moves.finalState('engines')).toBe(starts ? undefined : ServiceRolloutState.completed)
  })

  it('is reported again unless the store still has the report', () => {
    const moves = completedBefore()
    expect(moves.pending()).toEqual(['engines'])
    moves.addRequest(request('v2'), eraPosition(2, 12), 0)
    moves.applyStoredStatus('engines', stored, eraPosition(2, 11))
    expect(moves.pending()).toEqual(['engines'])
    moves.applyStoredStatus('engines', stored, eraPosition(2, 13))
    expect(moves.pending()).toEqual([])
  })

  it('starts again at a request that follows the one that was written again', () => {
    const moves = completedBefore()
    moves.addRequest(request('v2'), eraPosition(2, 7), 0)
    expect(moves.addRequest(request('v2'), eraPosition(2, 8), 0)).toBe(true)
  })

  it.each([
    { name: 'of the current era counts', era: 2, reported: true }, { name: 'of an earlier era does not count', era: 1, reported: false },
    { name: 'of a release without eras counts', era: undefined, reported: true }
  ])('a report $name', ({ era, reported }) => {
    const content = { ...update(ServiceRolloutState.completed, 1), reported: true, era }
    expect(parseRolloutUpdate(content, 2)).toMatchObject({ reported })
  })
})

describe('an update that cannot be parsed', () => {
  it.each([
    [{}], [{ ...update(ServiceRolloutState.running, 0.3), state: 'paused' }], [{ ...update(ServiceRolloutState.running, 0.3), share: 2 }],
    [{ ...update(ServiceRolloutState.running, 0.3), service: 7 }]
  ])('%o', (content) => {
    expect(parseRolloutUpdate(content, 0)).toBeUndefined()
  })
})
