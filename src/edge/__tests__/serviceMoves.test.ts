import { describe, expect, it } from 'vitest'
import { createServiceMoves, readMoveNews, type MoveFacts, type ServiceMoves } from '../serviceMoves'
import { MoveState } from '../types'
import { createEntry, createUpstreams } from './fixtures'

const DURATION_MS = 16_000
const [old1, old2, new1, new2] = createUpstreams([
  createEntry('old-1'), createEntry('old-2'),
  createEntry('new-1', { softwareVersion: 'v2' }), createEntry('new-2', { softwareVersion: 'v2' })
]) as [ReturnType<typeof createUpstreams>[number], ...ReturnType<typeof createUpstreams>]
const ALL = [old1!, old2!, new1!, new2!]
const CALM: MoveFacts = { fault: undefined, clear: true, oldInFlight: 3, oldUpstreams: 2, newUpstreams: 2 }

function createMove (): ServiceMoves {
  const moves = createServiceMoves()
  moves.request({ service: 'engines', toVersion: 'v2', duration: DURATION_MS }, 10, 0)
  return moves
}

function namesFor (moves: ServiceMoves, draw: number, now: number, upstreams = ALL): string[] {
  return moves.permitted('engines', upstreams, draw, now).map(({ entry }) => entry.identifier)
}

function news (state: MoveState, share: number): Parameters<ServiceMoves['takeNews']>[0] {
  return { service: 'engines', toVersion: 'v2', state, share, reported: false }
}

describe('upstreams that a request may use', () => {
  it.each<[string, (moves: ServiceMoves) => void, number, number, string[]]>([
    ['before the first word: the old version', () => {}, 0, 100, ['old-1', 'old-2']],
    ['in the share of the new version', (moves) => { moves.takeNews(news(MoveState.running, 0.3), 0) }, 0.29, 100, ['new-1', 'new-2']],
    ['outside of it', (moves) => { moves.takeNews(news(MoveState.running, 0.3), 0) }, 0.31, 100, ['old-1', 'old-2']],
    ['without news for a while: the old version', (moves) => { moves.takeNews(news(MoveState.running, 1), 0) }, 0, 2500, ['old-1', 'old-2']],
    ['completed, also without news', (moves) => { moves.takeNews(news(MoveState.completed, 1), 0) }, 0.99, 60_000, ['new-1', 'new-2']],
    ['taken back', (moves) => { moves.takeNews(news(MoveState.takenBack, 0), 0) }, 0, 60_000, ['old-1', 'old-2']],
    ['a late word after the end changes nothing', (moves) => {
      moves.takeNews(news(MoveState.takenBack, 0), 0)
      moves.takeNews(news(MoveState.running, 1), 10)
    }, 0, 100, ['old-1', 'old-2']],
    ['word of another version changes nothing', (moves) => {
      moves.takeNews({ ...news(MoveState.running, 1), toVersion: 'v3' }, 0)
    }, 0, 100, ['old-1', 'old-2']]
  ])('%s', (_title, prepare, draw, now, expected) => {
    const moves = createMove()
    prepare(moves)
    expect(namesFor(moves, draw, now)).toEqual(expected)
  })

  it('the other version serves when the preferred one has none left, but not one that was taken back', () => {
    const moves = createMove()
    expect(namesFor(moves, 0.5, 100, [new1!])).toEqual(['new-1'])
    moves.takeNews(news(MoveState.takenBack, 0), 0)
    expect(namesFor(moves, 0.5, 100, [new1!])).toEqual([])
  })

  it('are all without a move', () => {
    expect(namesFor(createServiceMoves(), 0, 0)).toHaveLength(4)
  })
})

describe('steps of the holder of the lease', () => {
  /** Plays a move with the same facts at all times; returns the steps with their times. */
  function play (facts: (now: number, share: number) => MoveFacts): Array<[number, string]> {
    const moves = createMove()
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
        moves.end('engines', step.kind === 'complete' ? MoveState.completed : MoveState.takenBack)
      }
      steps.push([now, step.kind === 'share' ? `share ${step.share}` : step.kind])
    }
    return steps
  }

  it('a good version has all traffic, and is complete, within two thirds of the time', () => {
    const steps = play((_now, share) => ({ ...CALM, oldInFlight: share === 1 ? 0 : 3 }))
    expect(steps.map(([, step]) => step)).toEqual(['share 0.08', 'share 0.25', 'share 0.5', 'share 1', 'complete'])
    expect(steps.at(-1)![0]).toBeLessThan(DURATION_MS * 2 / 3)
  })

  it('waits for requests on the old version, but not for instances that are away', () => {
    const [full, complete] = play(() => ({ ...CALM, oldInFlight: undefined })).slice(-2)
    expect(full![1]).toBe('share 1')
    expect(complete![0] - full![0]).toBeGreaterThanOrEqual(DURATION_MS / 4)
  })

  it('looks at the new version under all traffic for a while before the old one stops', () => {
    const [full, complete] = play(() => ({ ...CALM, oldInFlight: 0 })).slice(-2)
    expect(full![1]).toBe('share 1')
    expect(complete![0] - full![0]).toBeGreaterThanOrEqual(1500)
  })

  it('takes a version back whose fault shows under all traffic only', () => {
    let fullAt: number | undefined
    const steps = play((now, share) => {
      if (share === 1) fullAt ??= now
      // The judgement comes within one and a half seconds.
      const isSeen = fullAt !== undefined && now - fullAt >= 1500
      return { ...CALM, oldInFlight: 0, clear: fullAt === undefined, fault: isSeen ? 'slow on route chat' : undefined }
    })
    expect(steps.at(-1)![1]).toBe('takeBack')
  })

  it('a version whose fault shows at any share below all has met less than a tenth of the traffic', () => {
    for (const faultAt of [0.08, 0.25, 0.5]) {
      let at = 0
      let met = 0
      play((now, share) => {
        if (share === faultAt && at === 0) at = now
        met += share * 250 / DURATION_MS
        // The judgement comes within one and a half seconds.
        return { ...CALM, clear: share < faultAt, fault: at > 0 && now - at >= 1500 ? 'failures' : undefined }
      })
      expect(met).toBeLessThan(0.1)
    }
  })

  it.each<[string, Partial<MoveFacts>, string[]]>([
    ['no upstream of the new version', { newUpstreams: 0 }, []],
    ['too few of them for all traffic', { newUpstreams: 1, oldUpstreams: 2 }, ['share 0.08', 'share 0.25', 'share 0.5']],
    ['evidence that leans towards a fault holds the share', { clear: false }, ['share 0.08']],
    ['a fault at once', { fault: 'failures on route chat' }, ['takeBack']]
  ])('%s', (_title, facts, expected) => {
    expect(play(() => ({ ...CALM, ...facts })).map(([, step]) => step)).toEqual(expected)
  })
})

describe('the holder of the lease', () => {
  /** Milliseconds in which an instance without news of a share goes back to the old version. */
  const WITHOUT_NEWS_MS = 2100

  it('goes by the share that it set for as long as it stands by it', () => {
    const moves = createMove()
    moves.setShare('engines', 1, 0)
    for (let now = 0; now <= 10_000; now += 250) {
      moves.renew(now)
      expect(namesFor(moves, 0.99, now)).toEqual(['new-1', 'new-2'])
    }
    expect(namesFor(moves, 0.99, 10_000 + WITHOUT_NEWS_MS)).toEqual(['old-1', 'old-2'])
  })

  it.each<[string, number, number, string[]]>([
    ['judges a share of which it heard a moment ago before it sets the next one', 0.25, 10, ['share 0.5']],
    ['takes the first share as long as the holder before it had to', 0.08, 10, ['share 0.25']],
    ['begins with the first share when all have gone back to the old version', 0.5, WITHOUT_NEWS_MS, ['share 0.08', 'share 0.25']]
  ])('that is new %s', (_title, toldShare, takesUpAt, expected) => {
    const moves = createMove()
    moves.takeNews(news(MoveState.running, toldShare), 0)
    moves.takeUp('engines', takesUpAt)
    const steps: string[] = []
    const end = takesUpAt + DURATION_MS * 0.2
    for (let now = takesUpAt; now <= end; now += 10) {
      const step = moves.nextStep('engines', CALM, now)
      if (step?.kind !== 'share') continue
      if (step.share > 0.08) expect(now - takesUpAt).toBeGreaterThanOrEqual(1500)
      moves.setShare('engines', step.share, now)
      steps.push(`share ${step.share}`)
    }
    expect(steps.slice(0, expected.length)).toEqual(expected)
  })

  it('does not raise the share that others go by when it takes the move up', () => {
    const moves = createMove()
    moves.takeNews(news(MoveState.running, 0.5), 0)
    moves.takeUp('engines', WITHOUT_NEWS_MS)
    moves.renew(WITHOUT_NEWS_MS)
    expect(moves.news()).toEqual([news(MoveState.running, 0)])
  })
})

describe('the stored status', () => {
  it.each<[string, MoveState | undefined, number, boolean]>([
    ['completed for this request', MoveState.completed, 11, false],
    ['taken back for this request', MoveState.takenBack, 11, false],
    ['running', MoveState.running, 11, true],
    ['of an earlier request', MoveState.completed, 9, true],
    ['none', undefined, 0, true]
  ])('%s', (_title, state, rowVersion, moving) => {
    const moves = createMove()
    moves.takeStatus('engines', state && { service: 'engines', toVersion: 'v2', state }, rowVersion)
    expect(moves.isMoving('engines')).toBe(moving)
  })

  it('an end that is not stored yet stays to be reported, whoever holds the lease', () => {
    const moves = createMove()
    moves.takeNews(news(MoveState.takenBack, 0), 0)
    expect(moves.pending()).toEqual(['engines'])
    moves.takeStatus('engines', { service: 'engines', toVersion: 'v2', state: MoveState.running }, 11)
    expect(moves.endOf('engines')).toBe(MoveState.takenBack)
    expect(moves.pending()).toEqual(['engines'])
    moves.takeNews({ ...news(MoveState.takenBack, 0), reported: true }, 10)
    expect(moves.pending()).toEqual([])
  })

  it('a later request for the same version begins anew', () => {
    const moves = createMove()
    moves.end('engines', MoveState.takenBack)
    expect(moves.request({ service: 'engines', toVersion: 'v2', duration: 1 }, 12, 0)).toBe(true)
    expect(moves.pending()).toEqual(['engines'])
  })
})

describe('news that cannot be read', () => {
  it.each([
    [{}], [{ ...news(MoveState.running, 0.3), state: 'paused' }], [{ ...news(MoveState.running, 0.3), share: 2 }],
    [{ ...news(MoveState.running, 0.3), service: 7 }]
  ])('%o', (content) => {
    expect(readMoveNews(content)).toBeUndefined()
  })
})
