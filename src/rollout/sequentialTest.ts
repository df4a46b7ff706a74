/**
 * Sequential probability ratio test on Bernoulli trials (Wald, 1945).
 *
 * Null hypothesis: trials exceed with probability `nullRate`. Alternative hypothesis: trials exceed with the higher
 * probability `alternativeRate`. The sum of the log-likelihood ratios is compared with two bounds: at
 * ln((1 - miss) / falseAlarm) the alternative is accepted, at ln(miss / (1 - falseAlarm)) the null hypothesis. If the
 * null hypothesis is true, the alternative is accepted with a probability of at most about `falseAlarm`; if the
 * alternative is true, the null hypothesis is accepted with a probability of at most about `miss`.
 *
 * After the null hypothesis has been accepted the test restarts, so that earlier evidence in favour of a version does
 * not delay the detection of a fault that appears later.
 */

export const FALSE_ALARM_BOUND = 1e-4
export const MISS_BOUND = 1e-3

export interface SequentialTestOptions {
  /** @default FALSE_ALARM_BOUND */
  falseAlarm?: number
  /** @default MISS_BOUND */
  miss?: number
  /**
   * Maximum contribution of one call of `add`, as a fraction of the upper bound. With a value below 1, a single burst,
   * such as the crash of an engine with many requests in flight, is not decisive. @default 1
   */
  largestStep?: number
}

/** Trials with the same rates under both hypotheses. */
export interface Trials {
  exceedances: number
  trials: number
  nullRate: number
  alternativeRate: number
}

export interface SequentialTest {
  /** Adds the trials of one batch. */
  add: (batch: readonly Trials[]) => void
  /** Returns whether the alternative hypothesis has been accepted. This decision is final. */
  isWorse: () => boolean
  /** Returns how often the null hypothesis has been accepted. */
  acceptances: () => number
  /** Returns the current sum as a fraction of the upper bound; the alternative is accepted at 1. */
  evidence: () => number
}

export function createSequentialTest (options: SequentialTestOptions = {}): SequentialTest {
  const { falseAlarm = FALSE_ALARM_BOUND, miss = MISS_BOUND, largestStep = 1 } = options
  const upper = Math.log((1 - miss) / falseAlarm)
  const lower = Math.log(miss / (1 - falseAlarm))
  let sum = 0
  let worse = false
  let acceptances = 0
  return {
    add (batch) {
      if (worse) return
      const step = batch.reduce((total, { exceedances, trials, nullRate, alternativeRate }) => {
        return total + exceedances * Math.log(alternativeRate / nullRate) +
          (trials - exceedances) * Math.log((1 - alternativeRate) / (1 - nullRate))
      }, 0)
      sum += Math.min(step, upper * largestStep)
      if (sum >= upper) {
        worse = true
      } else if (sum <= lower) {
        acceptances++
        sum = 0
      }
    },
    isWorse: () => worse,
    acceptances: () => acceptances,
    evidence: () => worse ? 1 : sum / upper
  }
}
