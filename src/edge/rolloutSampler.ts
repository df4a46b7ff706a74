/** Counts the responses of both versions during a service rollout, as samples for the rollout judge. */
import { emptySample } from '../rollout/emptySample'
import type { RolloutSample } from '../rollout/types'

/** Version names in samples. Upstreams of the old version may run different versions. */
export const OLD_VERSION = 'old'
export const NEW_VERSION = 'new'
/**
 * Factors relative to the old version's mean time to first byte on the route above which a first byte is slow or very
 * slow.
 */
const SLOW_FACTOR = 3
const VERY_SLOW_FACTOR = 6
/** Minimum time to first byte in milliseconds to count as slow: plain calls vary by as much. */
const MIN_SLOW_MS = 50
/** Weight of the newest sample in the old version's mean time to first byte. */
const MEAN_GAIN = 0.05
/** Number of samples of the old version on a route from which on its mean is used. */
const MIN_REFERENCE_COUNT = 10

export interface RequestOutcome {
  service: string
  route: string
  isNew: boolean
  failed: boolean
  /** Time to first byte in milliseconds; undefined if no byte was received. */
  firstByte: number | undefined
}

export interface RolloutSampler {
  record: (outcome: RequestOutcome) => void
  /** Returns and resets the samples of a service. */
  drain: (service: string) => RolloutSample[]
}

export function createRolloutSampler (): RolloutSampler {
  const samples = new Map<string, RolloutSample>()
  const references = new Map<string, { mean: number, count: number }>()

  function sampleOf ({ service, route, isNew }: RequestOutcome): RolloutSample {
    const version = isNew ? NEW_VERSION : OLD_VERSION
    const subject = `${service}\n${version}\n${route}`
    const present = samples.get(subject)
    if (present !== undefined) return present
    const sample = emptySample(service, version, route)
    samples.set(subject, sample)
    return sample
  }

  /**
   * Returns the time to first byte as a multiple of the old version's mean; undefined while there are too few samples.
   */
  function slowness ({ service, route, isNew }: RequestOutcome, firstByte: number): number | undefined {
    const subject = `${service}\n${route}`
    const reference = references.get(subject) ?? { mean: firstByte, count: 0 }
    references.set(subject, reference)
    const { mean, count } = reference
    if (!isNew) {
      reference.count += 1
      reference.mean += (firstByte - mean) * Math.max(MEAN_GAIN, 1 / reference.count)
    }
    if (count < MIN_REFERENCE_COUNT) return undefined
    return firstByte < MIN_SLOW_MS ? 0 : firstByte / mean
  }

  return {
    record (outcome) {
      const sample = sampleOf(outcome)
      sample.requests += 1
      if (outcome.failed) sample.failures += 1
      if (outcome.firstByte === undefined) return
      sample.firstTokenMilliseconds += outcome.firstByte
      const factor = slowness(outcome, outcome.firstByte)
      if (factor === undefined) return
      sample.firstTokens += 1
      if (factor > SLOW_FACTOR) sample.slowFirstTokens += 1
      if (factor > VERY_SLOW_FACTOR) sample.verySlowFirstTokens += 1
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
