/** Metrics of the canary analysis: how samples are counted, and the rates of the hypotheses. */
import type { Trials } from './sequentialTest'
import { RollbackReason, type RolloutSample } from './types'

/** Relative risk up to which a new version is considered as good as the old one. */
export const NULL_RISK = 1.5
/** Relative risk from which a new version is considered faulty. */
export const ALTERNATIVE_RISK = 3

export interface Metric {
  reason: RollbackReason
  exceedances: (sample: RolloutSample) => number
  trials: (sample: RolloutSample) => number
  /** Counted instead of `exceedances` where load alone may cause these. */
  severeExceedances: (sample: RolloutSample) => number
  /** Lower limits of the rates of both hypotheses. */
  lowestNullRate: number
  lowestAlternativeRate: number
  /**
   * Whether the metric depends on the load. While the old version receives traffic, such a metric is judged by the
   * fraction of the exceedances that falls on the new version.
   */
  isLatency: boolean
  /**
   * Maximum contribution of one batch, as a fraction of the upper bound. The crash of one engine makes many requests
   * fail in one batch, and two crashes may occur close together; one stall makes many requests slow.
   */
  largestStep: number
}

export const METRICS: readonly Metric[] = [{
  reason: RollbackReason.failures,
  exceedances: sample => sample.failures,
  trials: sample => sample.requests,
  severeExceedances: sample => sample.failures,
  lowestNullRate: 0.005,
  lowestAlternativeRate: 0.05,
  isLatency: false,
  largestStep: 0.45
}, {
  reason: RollbackReason.slowFirstToken,
  exceedances: sample => sample.slowFirstTokens,
  trials: sample => sample.firstTokens,
  severeExceedances: sample => sample.verySlowFirstTokens,
  lowestNullRate: 0.15,
  lowestAlternativeRate: 0.4,
  isLatency: true,
  largestStep: 0.6
}, {
  reason: RollbackReason.slowTokens,
  exceedances: sample => sample.slowTokens,
  trials: sample => sample.betweenTokens,
  severeExceedances: sample => sample.verySlowTokens,
  lowestNullRate: 0.15,
  lowestAlternativeRate: 0.4,
  isLatency: true,
  largestStep: 0.6
}]

export interface Counts {
  exceedances: number
  trials: number
}

/** Returns the rates of both hypotheses for the exceedance rate `rate` of the old version. */
export function hypothesisRates (metric: Metric, rate: number): Pick<Trials, 'nullRate' | 'alternativeRate'> {
  return {
    nullRate: Math.min(0.6, Math.max(metric.lowestNullRate, rate * NULL_RISK)),
    alternativeRate: Math.min(0.9, Math.max(metric.lowestAlternativeRate, rate * ALTERNATIVE_RISK))
  }
}

/** Returns the expected fraction of the exceedances on the new version, given its fraction of the requests. */
export function expectedNewFraction (newFraction: number, relativeRisk: number): number {
  return relativeRisk * newFraction / (relativeRisk * newFraction + 1 - newFraction)
}

export function severeExceedancesOf (batch: readonly RolloutSample[], version: string, metric: Metric): number {
  return batch.reduce((sum, sample) => sum + (sample.version === version ? metric.severeExceedances(sample) : 0), 0)
}

export function rateOf (counts: ReadonlyArray<Counts>): number {
  const trials = counts.reduce((sum, count) => sum + count.trials, 0)
  return trials === 0 ? 0 : counts.reduce((sum, count) => sum + count.exceedances, 0) / trials
}

export function countsOf (
  batch: readonly RolloutSample[], version: string, metric: Metric
): Counts {
  let exceedances = 0
  let trials = 0
  for (const sample of batch) {
    if (sample.version !== version) continue
    exceedances += metric.exceedances(sample)
    trials += metric.trials(sample)
  }
  return { exceedances, trials }
}
