/** Schedules in which a begun stream could go on at an upstream that it has had, or at a free one, and does not. */
import { describe, expect, it, vi } from 'vitest'
import { createRequest, createSchedule, type Schedule } from './lifeSchedule'
import { playSchedule } from './lifeSimulation'

vi.mock('../upstreamCall', async (importOriginal) => ({
  ...await importOriginal<object>(),
  callUpstream: (await import('./simulatedUpstreams')).callCurrentUpstream
}))

const QUICK = { queue: 0, work: 0, pace: 50 }
const QUEUED = { queue: 1200, work: 0, pace: 50 }
const FOR_GOOD = 60_000

interface Case { title: string, schedule: Schedule }

/** Both upstreams are tried as the first one, because the choice between them is drawn. */
function forEachUpstream (create: (first: number) => Case): Case[] {
  return [0, 1].map((first) => {
    const { title, schedule } = create(first)
    return { title: `${title} (upstream ${first})`, schedule }
  })
}

const CASES: readonly Case[] = [
  // A refusal removes an upstream from those that have had the request, so that the request never returns to it.
  ...forEachUpstream((first) => ({
    title: 'both upstreams that have had it are full for a while, after a takeover',
    schedule: createSchedule({
      upstreams: [QUICK, QUICK],
      silences: [{ from: 500, length: 1500, upstreams: [first], accepts: true }],
      resets: [{ from: 2700, length: 0, upstreams: [0, 1] }],
      full: [{ from: 2600, length: 1500, upstreams: [0, 1], wait: 0 }],
      requests: [createRequest({ limit: 8000, events: 80 })]
    })
  })),
  // Only runs that have had the stream may get it again, and these have ended; ended ones do not count for the route.
  ...forEachUpstream((first) => ({
    title: 'both upstreams that have had it were restarted, after a takeover',
    schedule: createSchedule({
      upstreams: [QUICK, QUICK],
      silences: [{ from: 500, length: 1500, upstreams: [first], accepts: true }],
      absences: [{ from: 2700, length: 300, upstreams: [0, 1], isOtherRun: true, isGraceful: true }],
      requests: [createRequest({ limit: 8000, events: 80 })]
    })
  })),
  // Three refusals of takeovers keep a begun stream at a lost upstream for the rest of its time.
  ...forEachUpstream((first) => ({
    title: 'its upstream is lost without a sign and the other one is full for three seconds',
    schedule: createSchedule({
      upstreams: [QUICK, QUICK],
      silences: [{ from: 500, length: FOR_GOOD, upstreams: [first], accepts: true }],
      full: [{ from: 400, length: 3000, upstreams: [1 - first], wait: 0 }],
      requests: [createRequest({ limit: 9000, events: 40 })]
    })
  })),
  // An upstream whose takeover was cancelled is not permitted again while an attempt is in progress.
  ...forEachUpstream((first) => ({
    title: 'its upstream pauses, goes on, and is lost without a sign later while the other one is free',
    schedule: createSchedule({
      upstreams: [0, 1].map((index) => index === first ? QUICK : QUEUED),
      silences: [
        { from: 500, length: 1000, upstreams: [first], accepts: true },
        { from: 3000, length: FOR_GOOD, upstreams: [first], accepts: true }
      ],
      requests: [createRequest({ limit: 9000, events: 80 })]
    })
  })),
  // The upstream that was replaced is not permitted again while the attempt at the next one is in progress.
  ...forEachUpstream((first) => ({
    title: 'its upstream pauses and is replaced, and the next one is lost without a sign while the first one is free',
    schedule: createSchedule({
      upstreams: [QUICK, QUICK],
      silences: [
        { from: 500, length: 1500, upstreams: [first], accepts: true },
        { from: 3000, length: FOR_GOOD, upstreams: [1 - first], accepts: true }
      ],
      requests: [createRequest({ limit: 9000, events: 80 })]
    })
  })),
  // Takeovers may use half of the allowance, so that the rest stays at a lost upstream while the other half is unused.
  ...forEachUpstream((first) => ({
    title: 'it is one of six, one of two upstreams is lost without a sign and the allowance would cover all its streams',
    schedule: createSchedule({
      upstreams: [QUICK, QUICK],
      silences: [{ from: 1000, length: FOR_GOOD, upstreams: [first], accepts: true }],
      allowance: { window: 10_000, ratio: 0.2, extra: 8 },
      requests: Array.from({ length: 6 }, (_value, index) => createRequest({ at: index * 50, limit: 8000, events: 60 }))
    })
  }))
]

describe('a begun stream is answered whole when', () => {
  it.each(CASES.map(({ title, schedule }) => [title, schedule] as const))('%s', async (_title, schedule) => {
    const { callers } = await playSchedule(schedule)
    expect(callers.map(({ status, endings }) => [status, endings[0]?.isCut])).toEqual(callers.map(() => [200, false]))
  })
})
