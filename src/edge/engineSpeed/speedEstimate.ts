/**
 * Estimates the time in which one run of an engine processes 1,000 prompt tokens.
 *
 * Load behind this decision: engines pause for about a second or load weights while a prompt waits, and a prefix that
 * was expected in the cache may be missing. Such samples are many times too long, so each one moves the estimate by a
 * bounded factor only.
 */

/** Samples of which the median starts the estimate, so that a single pause does not determine it. */
export const MIN_SAMPLES = 7
/** Largest number of samples that the estimate counts. */
export const MAX_SAMPLES = 64
/** Smallest weight of a sample; the speed of a run is constant, what else the samples contain changes slowly. */
const MIN_GAIN = 0.05
/** Largest difference, as a natural logarithm, that one sample contributes; engines of one service differ by up to 2.7. */
const MAX_DIFFERENCE = 0.4
/** Bounds in milliseconds for 1,000 tokens; samples outside contain more than the processing of the prompt. */
const MIN_MILLISECONDS = 0.5
const MAX_MILLISECONDS = 1000

export interface SpeedEstimate {
  /** Milliseconds for 1,000 prompt tokens that are not cached; undefined until there are `MIN_SAMPLES`. */
  milliseconds: number | undefined
  /** Number of samples, up to `MAX_SAMPLES`. */
  samples: number
  /** Samples before the estimate has started. */
  first: number[]
}

export function createSpeedEstimate (): SpeedEstimate {
  return { milliseconds: undefined, samples: 0, first: [] }
}

/** Returns the middle value; undefined without values. */
export function median (values: readonly number[]): number | undefined {
  return [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)]
}

/** @param sample milliseconds for 1,000 tokens */
export function recordSpeedSample (estimate: SpeedEstimate, sample: number): void {
  const bounded = Math.min(MAX_MILLISECONDS, Math.max(MIN_MILLISECONDS, sample))
  estimate.samples = Math.min(MAX_SAMPLES, estimate.samples + 1)
  if (estimate.milliseconds === undefined) {
    estimate.first.push(bounded)
    if (estimate.first.length < MIN_SAMPLES) return
    estimate.milliseconds = median(estimate.first)
    estimate.first = []
    return
  }
  const difference = Math.log(bounded / estimate.milliseconds)
  const clipped = Math.min(MAX_DIFFERENCE, Math.max(-MAX_DIFFERENCE, difference))
  estimate.milliseconds *= Math.exp(clipped * Math.max(MIN_GAIN, 1 / estimate.samples))
}

/** Takes over the estimate of an instance that has at least as many samples. */
export function adoptSpeed (estimate: SpeedEstimate, milliseconds: number, samples: number): void {
  if (samples < Math.max(MIN_SAMPLES, estimate.samples)) return
  estimate.milliseconds = milliseconds
  estimate.samples = Math.min(MAX_SAMPLES, samples)
  estimate.first = []
}
