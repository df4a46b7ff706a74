/** Schedules in which a rule was broken, most of them shrunk from those that were drawn. */
import { createRequest, createSchedule, RequestKind, type Schedule } from './lifeSchedule'

export interface LifeCase {
  title: string
  schedule: Schedule
}

const QUICK = { queue: 0, work: 0, pace: 50 }
const SLOW = { queue: 50, work: 100, pace: 150 }
const TWO = [QUICK, QUICK]
const FOUR = [QUICK, QUICK, QUICK, QUICK]
const NO_ALLOWANCE = { window: 10_000, ratio: 0, extra: 0 }
const SMALL_ALLOWANCE = { window: 10_000, ratio: 0, extra: 3 }

/** Cases in which each request must get a whole answer: a request that only waits for its time limit keeps the rules. */
export const ANSWERED_CASES: readonly LifeCase[] = [
  {
    title: 'its upstream stays silent and another one is free',
    schedule: createSchedule({
      upstreams: TWO,
      silences: [{ from: 500, length: 60_000, upstreams: [1], accepts: true }],
      requests: [createRequest({ limit: 4000 }), createRequest({ kind: RequestKind.safe, at: 600, limit: 4000 })]
    })
  },
  {
    title: 'its upstream breaks off and another one is free',
    schedule: createSchedule({
      upstreams: TWO,
      resets: [{ from: 500, length: 0, upstreams: [0, 1] }],
      requests: [createRequest({ limit: 4000 })]
    })
  },
  {
    title: 'all upstreams are silent at once for a while',
    schedule: createSchedule({
      upstreams: TWO,
      silences: [{ from: 500, length: 1500, upstreams: [0, 1], accepts: true }],
      requests: [createRequest({ limit: 6000 }), createRequest({ limit: 6000, kind: RequestKind.plainStream })]
    })
  },
  {
    title: 'its upstream breaks off and all are full for two seconds',
    schedule: createSchedule({
      upstreams: TWO,
      resets: [{ from: 500, length: 0, upstreams: [0, 1] }],
      full: [{ from: 400, length: 2000, upstreams: [0, 1], wait: 0 }],
      requests: [createRequest({ limit: 8000 })]
    })
  },
  {
    title: 'its upstream breaks off while the allowance is used up',
    schedule: createSchedule({
      upstreams: TWO,
      resets: [{ from: 500, length: 0, upstreams: [0, 1] }, { from: 900, length: 0, upstreams: [0, 1] }],
      allowance: { window: 2000, ratio: 0, extra: 2 },
      requests: [createRequest({ limit: 8000, maximumAttempts: 3 })]
    })
  },
  {
    // Guards against a stream that is cut because the store is away and its key cannot be confirmed for a moment.
    title: 'its upstream breaks off while the store has been away for longer than keys may be used',
    schedule: createSchedule({
      upstreams: TWO,
      resets: [{ from: 1600, length: 0, upstreams: [0, 1] }],
      outage: { from: 500, length: 2000, revocation: 1000 },
      requests: [createRequest({ limit: 8000 })]
    })
  },
  {
    // Each of the next three guards against a stream that is cut because the list is empty for a moment.
    title: 'its only upstream breaks off, and another run of it is listed a second later',
    schedule: createSchedule({
      upstreams: [QUICK],
      absences: [{ from: 500, length: 1000, upstreams: [0], isOtherRun: true, isGraceful: false }],
      requests: [createRequest({ limit: 6000 })]
    })
  },
  {
    title: 'its only upstream leaves as planned, and another run of it is listed half a second later',
    schedule: createSchedule({
      upstreams: [QUICK],
      departures: [{ from: 500, length: 1000, upstreams: [0], returnsAfter: 500 }],
      requests: [createRequest({ limit: 6000 })]
    })
  },
  {
    title: 'its upstream breaks off while the entries of all upstreams are lost for two seconds',
    schedule: createSchedule({
      upstreams: TWO,
      absences: [{ from: 500, length: 2000, upstreams: [0, 1], isOtherRun: false, isGraceful: false }],
      resets: [{ from: 800, length: 0, upstreams: [0, 1] }],
      requests: [createRequest({ limit: 6000 })]
    })
  },
  {
    title: 'it waits at silent upstreams and the next one refuses it when it goes on',
    schedule: createSchedule({
      upstreams: [QUICK, QUICK, QUICK],
      silences: [{ from: 500, length: 1500, upstreams: [0, 1, 2], accepts: true }],
      full: [{ from: 1000, length: 2000, upstreams: [0, 1, 2], wait: 0 }],
      requests: [createRequest({ limit: 8000 })]
    })
  }
]

export const LIFE_CASES: readonly LifeCase[] = [
  {
    // The first attempt was cancelled although the next upstream was silent, too, and had not answered.
    title: 'while it waits at two silent upstreams',
    schedule: createSchedule({
      upstreams: TWO,
      silences: [{ from: 0, length: 1050, upstreams: [0, 1], accepts: true }],
      requests: [createRequest({ limit: 2000, events: 1 })]
    })
  },
  {
    // The first upstream was given up; the next one was silent and refused the stream when it went on.
    title: 'when one of two silent upstreams is full',
    schedule: createSchedule({
      upstreams: TWO,
      silences: [{ from: 1300, length: 1050, upstreams: [1], accepts: true }],
      full: [{ from: 1250, length: 800, upstreams: [0], wait: 300 }],
      allowance: { window: 2000, ratio: 0, extra: 3 },
      requests: [
        createRequest({ at: 1050, limit: 2000, events: 6 }), createRequest({ at: 400, limit: 2000, events: 19 })
      ],
      seed: 0
    })
  },
  {
    // The fourth refusal ended a stream although its first upstream would have gone on.
    title: 'when all others refuse it again and again, after a queue',
    schedule: createSchedule({
      upstreams: FOUR,
      silences: [{ from: 1400, length: 1050, upstreams: [3], accepts: true }],
      full: [{ from: 0, length: 3050, upstreams: [0, 1, 2], wait: 300 }],
      allowance: { window: 10_000, ratio: 1, extra: 100 },
      requests: [createRequest({ limit: 3400, events: 29 })],
      seed: 0
    })
  },
  {
    // The refusal after a takeover could not be followed by another attempt, because the allowance was used up.
    title: 'when the allowance is used up by its takeover',
    schedule: createSchedule({
      upstreams: TWO,
      silences: [{ from: 2000, length: 1050, upstreams: [0, 1], accepts: true }],
      full: [{ from: 2150, length: 1200, upstreams: [0, 1], wait: 0 }],
      allowance: SMALL_ALLOWANCE,
      requests: [
        createRequest({ at: 900, limit: 2500, events: 23 }),
        createRequest({ limit: 2000, maximumAttempts: 1, events: 1 })
      ],
      seed: 0
    })
  },
  {
    // As in trials with real processes: several upstreams fall silent shortly after each other, and are full then.
    title: 'when many streams meet upstreams that are silent and full',
    schedule: createSchedule({
      upstreams: [SLOW, SLOW, SLOW],
      silences: [
        { from: 1500, length: 1200, upstreams: [0, 1], accepts: true },
        { from: 2000, length: 1200, upstreams: [2], accepts: true }
      ],
      full: [{ from: 1500, length: 2500, upstreams: [0, 1, 2], wait: 100 }],
      allowance: { window: 10_000, ratio: 0.2, extra: 8 },
      requests: Array.from({ length: 12 }, (_value, index) => (
        createRequest({ at: index * 50, events: 30, segment: index % 3 })
      ))
    })
  },
  {
    // The stream waited 1.5 s at most for an upstream, or for three refusals, with attempts of its route left.
    title: 'after its upstream reset it and is full for a second',
    schedule: createSchedule({
      upstreams: [QUICK],
      full: [{ from: 50, length: 1050, upstreams: [0], wait: 0 }],
      resets: [{ from: 50, length: 0, upstreams: [0] }],
      allowance: { window: 10_000, ratio: 1, extra: 100 },
      requests: [createRequest({ limit: 2000, events: 2 })],
      seed: 0
    })
  },
  {
    // The allowance ended a stream that the attempts of its route permitted to go on. It may wait until its time limit.
    title: 'after its upstream reset it, without an allowance',
    schedule: createSchedule({
      upstreams: [QUICK],
      resets: [{ from: 50, length: 0, upstreams: [0] }],
      allowance: NO_ALLOWANCE,
      requests: [createRequest({ limit: 2000, events: 2 })],
      seed: 0
    })
  },
  {
    // The first upstream was given up for one that was silent and answered 500 when it went on.
    title: 'when the next upstream fails it after a silence of both',
    schedule: createSchedule({
      upstreams: TWO,
      silences: [{ from: 2500, length: 1050, upstreams: [0, 1], accepts: true }],
      failures: [{ from: 2650, length: 1000, upstreams: [0] }],
      allowance: { window: 10_000, ratio: 1, extra: 100 },
      requests: [createRequest({ at: 2300, limit: 2000, events: 5 })],
      seed: 0
    })
  },
  {
    // Guards against a safe request that is given up at a silent upstream for one that refuses it.
    title: 'when it is safe and the others refuse it while its upstream is silent',
    schedule: createSchedule({
      upstreams: FOUR,
      silences: [{ from: 0, length: 1500, upstreams: [3], accepts: true }],
      full: [{ from: 0, length: 3000, upstreams: [0, 1, 2], wait: 100 }],
      allowance: { window: 10_000, ratio: 1, extra: 100 },
      requests: [createRequest({ kind: RequestKind.safe, limit: 4000 })],
      seed: 0
    })
  },
  {
    // The instance's window is up to a tenth shorter than that of the rule, so that it repeated 4 requests in place of 3.
    title: 'when upstreams refuse requests at both ends of the window of the allowance',
    schedule: createSchedule({
      upstreams: [QUICK, QUICK, QUICK],
      full: [{ from: 0, length: 2950, upstreams: [2, 4], wait: 300 }],
      otherWeights: [{ from: 0, length: 1300, upstreams: [1, 2] }],
      allowance: { window: 2000, ratio: 0, extra: 3 },
      requests: [2900, 2900, 1250].map((at) => createRequest({ at, limit: 2000, maximumAttempts: 1, events: 1 })),
      seed: 0
    })
  },
  {
    // A retry counted from when it was sent, and arrived 59 ms later, when its connection opened: 2 arrived in one window.
    title: 'when a connection opens late and the window of the allowance starts before',
    schedule: createSchedule({
      upstreams: TWO,
      silences: [{ from: 700, length: 1650, upstreams: [1, 4], accepts: false }],
      full: [{ from: 250, length: 2150, upstreams: [0, 1, 3], wait: 50 }],
      resets: [{ from: 250, length: 0, upstreams: [1, 4] }, { from: 0, length: 0, upstreams: [1] }],
      allowance: { window: 2000, ratio: 0.2, extra: 1 },
      requests: [
        ...[2400, 700, 0, 2400, 1150].map((at) => createRequest({ at, limit: 2000, maximumAttempts: 1, events: 1 })),
        createRequest({ limit: 4400, events: 6 })
      ],
      seed: 0
    })
  },
  {
    // Guards against a takeover that is sent after the answer, because it waited for its permit meanwhile.
    title: 'when its upstream ends it while the takeover waits for a permit',
    schedule: createSchedule({
      upstreams: TWO,
      silences: [{ from: 500, length: 750, upstreams: [0, 1], accepts: true }],
      limits: [{ from: 600, length: 2000, upstreams: [0, 1], permitWait: 100 }],
      requests: [createRequest({ limit: 4000, events: 20 })]
    })
  }
]
