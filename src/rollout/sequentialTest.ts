/**
 * Sequential probability ratio test on Bernoulli trials (Wald, 1945).
 *
 * Null hypothesis: the trials exceed with probability `nullRate`. Alternative: with `alternativeRate`, which is higher. The
 * sum of the log-likelihood ratios is compared with two bounds: at ln((1 - miss) / falseAlarm) the alternative is taken,
 * at ln(miss / (1 - falseAlarm)) the null hypothesis. Under the null hypothesis the alternative is taken with probability
 * of at most about `falseAlarm`; under the alternative the null hypothesis with at most about `miss`.
 *
 * After the null hypothesis is taken the test starts again, so that a fault that appears late meets no credit from the
 * time before it.
 */

export const FALSE_ALARM_BOUND = 1e-4
export const MISS_BOUND = 1e-3

export interface SequentialTestOptions {
  /** @default FALSE_ALARM_BOUND */
  falseAlarm?: number
  /** @default MISS_BOUND */
  miss?: number
  /**
   * Largest part of the upper bound that one call of `add` contributes. Below 1, one burst, such as the crash of an engine
   * with many requests in flight, cannot decide alone. @default 1
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
  /** True from when the alternative was taken; final. */
  worse: () => boolean
  /** How often the null hypothesis was taken. */
  acceptances: () => number
  /** The present sum as a part of the upper bound: 1 takes the alternative. */
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
    worse: () => worse,
    acceptances: () => acceptances,
    evidence: () => worse ? 1 : sum / upper
  }
}
