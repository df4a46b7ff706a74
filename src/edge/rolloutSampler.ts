/** Counts the responses of both versions during a service rollout, as samples for the rollout judge. */
import { emptySample } from '../rollout/emptySample'
import type { RolloutSample } from '../rollout/types'
import type { MonotonicMilliseconds } from '../types'
import { setBounded } from '../boundedMap'

/** Version names in samples. Upstreams of the old version may run different versions. */
export const OLD_VERSION = 'old'
export const NEW_VERSION = 'new'
/**
 * Factors relative to the old version's mean time on the route above which a time is slow or very slow.
 */
const SLOW_FACTOR = 3
const VERY_SLOW_FACTOR = 6
/** Weight of the newest time in the old version's mean. */
const MEAN_GAIN = 0.05
/** Number of times of the old version on a route from which on their mean is used. */
const MIN_REFERENCE_COUNT = 10
/** Number of routes whose mean is kept; far more than a configuration has. */
const MAX_REFERENCES = 2000

export interface SampledAttempt {
  service: string
  route: string
  /** Whether the attempt runs on the new version. */
  isNew: () => boolean
}

/**
 * Samples one attempt. What is known of a running attempt is counted at once: the attempts on a slow version are the
 * last to end, and many of them are cancelled first.
 */
export interface AttemptSample {
  /** Counts what is slow already; called several times per second. */
  recordRunning: (now: MonotonicMilliseconds) => void
  recordFirstByte: (now: MonotonicMilliseconds) => void
  /** Records events of a stream. */
  recordEvents: (count: number, now: MonotonicMilliseconds) => void
  /** Ignores the times between events, because the caller reads slowly. */
  ignorePace: () => void
  recordEnd: (failed: boolean, now: MonotonicMilliseconds) => void
}

export interface RolloutSampler {
  startAttempt: (attempt: SampledAttempt, now: MonotonicMilliseconds) => AttemptSample
  /** Returns and resets the samples of a service. */
  drain: (service: string) => RolloutSample[]
}

/** Time that is compared with the old version's, and the fields of a sample in which it is counted. */
interface Measure {
  name: string
  trials: 'firstTokens' | 'betweenTokens'
  slow: 'slowFirstTokens' | 'slowTokens'
  verySlow: 'verySlowFirstTokens' | 'verySlowTokens'
  /** Minimum time in milliseconds to count as slow: without any load, times vary by as much. */
  minimum: number
}

const FIRST_BYTE: Measure = {
  name: 'first byte',
  trials: 'firstTokens',
  slow: 'slowFirstTokens',
  verySlow: 'verySlowFirstTokens',
  minimum: 50
}
const BETWEEN_EVENTS: Measure = {
  name: 'between events', trials: 'betweenTokens', slow: 'slowTokens', verySlow: 'verySlowTokens', minimum: 10
}
/** Number of events after the first one from which the mean time between events of a complete stream is used. */
const MIN_EVENTS = 3
/** Milliseconds since the first event from which that of a running stream is used. */
const MIN_STREAM_MS = 200

const Slowness = { normal: 0, slow: 1, verySlow: 2 } as const
type Slowness = typeof Slowness[keyof typeof Slowness]

/** @param isRollingOut whether a rollout of the service is running; attempts are counted only then */
export function createRolloutSampler (isRollingOut: (service: string) => boolean): RolloutSampler {
  const samples = new Map<string, RolloutSample>()
  /** The old version's mean times by measure, service and route, kept between rollouts as well. */
  const references = new Map<string, { mean: number, count: number }>()

  function sampleOf ({ service, route, isNew }: SampledAttempt): RolloutSample {
    const version = isNew() ? NEW_VERSION : OLD_VERSION
    const subject = `${service}\n${version}\n${route}`
    const present = samples.get(subject)
    if (present !== undefined) return present
    const sample = emptySample(service, version, route)
    samples.set(subject, sample)
    return sample
  }

  /** Compares one time of an attempt with the old version's, and counts it at most once. */
  function createComparison ({ name, trials, slow, verySlow, minimum }: Measure, attempt: SampledAttempt): {
    recordMinimum: (value: number) => void
    recordFinal: (value: number) => void
  } {
    const subject = `${name}\n${attempt.service}\n${attempt.route}`
    /** The slowness with which the attempt has been counted; undefined if it has not. */
    let counted: Slowness | undefined

    /** Returns undefined if there are too few times of the old version to compare with. */
    function slownessOf (value: number): Slowness | undefined {
      const { mean, count } = references.get(subject) ?? { mean: 0, count: 0 }
      if (count < MIN_REFERENCE_COUNT) return undefined
      if (value < minimum || value <= mean * SLOW_FACTOR) return Slowness.normal
      return value <= mean * VERY_SLOW_FACTOR ? Slowness.slow : Slowness.verySlow
    }

    function count (slowness: Slowness): void {
      const sample = sampleOf(attempt)
      const before = counted ?? Slowness.normal
      if (counted === undefined) sample[trials] += 1
      if (slowness >= Slowness.slow && before < Slowness.slow) sample[slow] += 1
      if (slowness >= Slowness.verySlow && before < Slowness.verySlow) sample[verySlow] += 1
      counted = slowness
    }

    function updateReference (value: number): void {
      const reference = references.get(subject) ?? { mean: value, count: 0 }
      reference.count += 1
      reference.mean += (value - reference.mean) * Math.max(MEAN_GAIN, 1 / reference.count)
      setBounded(references, subject, reference, MAX_REFERENCES)
    }

    return {
      recordMinimum (value) {
        const slowness = slownessOf(value)
        if (slowness !== undefined && slowness > (counted ?? Slowness.normal)) count(slowness)
      },
      recordFinal (value) {
        const isCounted = isRollingOut(attempt.service)
        const slowness = slownessOf(value)
        if (isCounted && slowness !== undefined && slowness >= (counted ?? Slowness.normal)) count(slowness)
        if (!isCounted || !attempt.isNew()) updateReference(value)
      }
    }
  }

  return {
    startAttempt (attempt, startedAt) {
      const firstByte = createComparison(FIRST_BYTE, attempt)
      const betweenEvents = createComparison(BETWEEN_EVENTS, attempt)
      let firstByteAt: MonotonicMilliseconds | undefined
      let firstEventAt: MonotonicMilliseconds | undefined
      let laterEvents = 0
      let isPaceIgnored = false

      return {
        recordRunning (now) {
          if (!isRollingOut(attempt.service)) return
          if (firstByteAt === undefined) firstByte.recordMinimum(now - startedAt)
          if (firstEventAt === undefined || isPaceIgnored || now - firstEventAt < MIN_STREAM_MS) return
          betweenEvents.recordMinimum((now - firstEventAt) / (laterEvents + 1))
        },
        recordFirstByte (now) {
          firstByteAt = now
          firstByte.recordFinal(now - startedAt)
          if (isRollingOut(attempt.service)) sampleOf(attempt).firstTokenMilliseconds += now - startedAt
        },
        recordEvents (count, now) {
          laterEvents += firstEventAt === undefined ? count - 1 : count
          firstEventAt ??= now
        },
        ignorePace () { isPaceIgnored = true },
        recordEnd (failed, now) {
          if (!failed && firstEventAt !== undefined && !isPaceIgnored && laterEvents >= MIN_EVENTS) {
            betweenEvents.recordFinal((now - firstEventAt) / laterEvents)
          }
          if (!isRollingOut(attempt.service)) return
          const sample = sampleOf(attempt)
          sample.requests += 1
          if (failed) sample.failures += 1
        }
      }
    },
    drain (service) {
      const drained: RolloutSample[] = []
      for (const [subject, sample] of samples) {
        if (sample.model !== service) continue
        drained.push(sample)
        samples.delete(subject)
      }
      return drained
    }
  }
}
