/** The metrics by which a version is judged: how samples are counted, and the rates of the hypotheses. */
import type { Trials } from './sequentialTest'
import { RollbackReason, type RolloutSample } from './types'

/** Relative risk up to which a version is as good as the old one. */
export const NULL_RISK = 1.5
/** Relative risk from which a version is bad. */
export const ALTERNATIVE_RISK = 3

export interface Metric {
  reason: RollbackReason
  exceedances: (sample: RolloutSample) => number
  trials: (sample: RolloutSample) => number
  /** Counts instead of `exceedances` where load may explain these. */
  clearExceedances: (sample: RolloutSample) => number
  /** Lowest rates of the hypotheses without old traffic. */
  lowestNullRate: number
  lowestAlternativeRate: number
  /** Judged by the part of the exceedances that falls on the new version while there is old traffic; depends on the load. */
  slowness: boolean
  /**
   * Largest part of the bound that one batch contributes. The crash of one engine fails many requests in one batch, and
   * two crashes may come close together; one stall slows many.
   */
  largestStep: number
}

export const METRICS: readonly Metric[] = [{
  reason: RollbackReason.failures,
  exceedances: sample => sample.failures,
  trials: sample => sample.requests,
  clearExceedances: sample => sample.failures,
  lowestNullRate: 0.005,
  lowestAlternativeRate: 0.05,
  slowness: false,
  largestStep: 0.45
}, {
  reason: RollbackReason.slowFirstToken,
  exceedances: sample => sample.slowFirstTokens,
  trials: sample => sample.firstTokens,
  clearExceedances: sample => sample.verySlowFirstTokens,
  lowestNullRate: 0.15,
  lowestAlternativeRate: 0.4,
  slowness: true,
  largestStep: 0.6
}, {
  reason: RollbackReason.slowTokens,
  exceedances: sample => sample.slowTokens,
  trials: sample => sample.betweenTokens,
  clearExceedances: sample => sample.verySlowTokens,
  lowestNullRate: 0.15,
  lowestAlternativeRate: 0.4,
  slowness: true,
  largestStep: 0.6
}]

export interface Counts {
  exceedances: number
  trials: number
}

/** Rates of the hypotheses when the old version exceeds at `rate`. */
export function ratesAbove (metric: Metric, rate: number): Pick<Trials, 'nullRate' | 'alternativeRate'> {
  return {
    nullRate: Math.min(0.6, Math.max(metric.lowestNullRate, rate * NULL_RISK)),
    alternativeRate: Math.min(0.9, Math.max(metric.lowestAlternativeRate, rate * ALTERNATIVE_RISK))
  }
}

export function risked (part: number, risk: number): number {
  return risk * part / (risk * part + 1 - part)
}

export function sumOfClear (batch: readonly RolloutSample[], version: string, metric: Metric): number {
  return batch.reduce((sum, sample) => sum + (sample.version === version ? metric.clearExceedances(sample) : 0), 0)
}

export function rateOf (counts: ReadonlyArray<Counts>): number {
  const trials = counts.reduce((sum, count) => sum + count.trials, 0)
  return trials === 0 ? 0 : counts.reduce((sum, count) => sum + count.exceedances, 0) / trials
}

export function sumOf (
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
