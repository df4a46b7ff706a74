/**
 * Canary analysis: compares a new version with the old one, for each route and metric, using the samples of all
 * instances.
 *
 * The null hypothesis is a relative risk of at most `NULL_RISK`, the alternative hypothesis one of at least
 * `ALTERNATIVE_RISK`.
 *
 * Latency: while both versions receive traffic on a route, each slow response is a Bernoulli trial that falls on the
 * new version with a probability that follows from the fraction of requests on that version. For a fraction s, a
 * relative risk r gives r*s / (r*s + 1 - s). A disturbance that affects both versions cancels out. The samples of each
 * instance are compared only with each other, since every instance measures slowness against its own reference. When
 * the old version receives no traffic (full share), the rate of slow responses is compared with the rate that the old
 * version had earlier under the same or a higher load. At a load for which there is no such rate, or at which the old
 * version was slow as well, only very slow responses count, since load alone makes responses slow.
 *
 * Failures: each request on the new version is a trial, and the rate of the null hypothesis is derived from the
 * failures of the old version over the same period. Failures are too rare for the method used for latency, in which the
 * trials are the failures themselves: no evidence in favour of a version would arrive while there are no failures, so
 * the evidence from one burst of failures would persist for minutes.
 */
import { baselineAt, createLoadLevels, MAXIMUM_BASELINE_RATE } from './loadBaseline'
import {
  ALTERNATIVE_RISK, METRICS, NULL_RISK, countsOf, expectedNewFraction, hypothesisRates, rateOf, severeExceedancesOf,
  type Counts, type Metric
} from './judgedMetrics'
import { createSequentialTest, type SequentialTest, type Trials } from './sequentialTest'
import type { RollbackReason, RolloutSample } from './types'

/** Fraction of the requests on the new version above which the old version's sample is too small for a comparison. */
const MAXIMUM_COMPARED_FRACTION = 0.9
/**
 * Number of load levels above the highest known level up to which latency is still judged. Beyond them the traffic is
 * more than 2.4 times as high.
 */
const MAXIMUM_UNKNOWN_LEVELS = 4
/**
 * Requests on the new version, in total and on each route, after which the share may increase before the maximum dwell
 * time has passed.
 */
const SUFFICIENT_REQUESTS = 200
const SUFFICIENT_ROUTE_REQUESTS = 30
/**
 * Number of batches (one per second) over which the recent failure rate of the old version is averaged, in addition to
 * the rates of the current batch and of the whole rollout.
 */
const RECENT_BATCHES = 10
/** Evidence from which the share is not increased. */
const HOLD_EVIDENCE = 0.3

/** Batches for which the share is not increased after an instance has reported an open circuit breaker. */
const BREAKER_HOLD_BATCHES = 10

export interface Verdict {
  reason: RollbackReason
  route: string
}

export interface RolloutJudge {
  add: (instance: string, samples: readonly RolloutSample[]) => void
  /** Evaluates the samples added since the last call. Called once per reporting interval. */
  evaluate: () => Verdict | undefined
  /** Returns whether the new version has received enough requests on every active route since `startStep`. */
  hasSufficientRequests: () => boolean
  /** Returns false while a test indicates a possible fault, during which the share must not be increased. */
  isSafeToAdvance: () => boolean
  /** Resets the request counts when the share or the phase has changed. */
  startStep: () => void
}

interface RouteState {
  /** Tests in the order of `METRICS`. */
  tests: readonly SequentialTest[]
  /** Counts of the old version at each load level during the comparison, for each metric in the order of `METRICS`. */
  baselines: ReadonlyArray<Map<number, Counts>>
  /** Failures and requests of the old version since the rollout began. */
  total: Counts
  /** Failures and requests of the old version in the most recent batches, newest last. */
  recent: Counts[]
}

export interface JudgeOptions {
  fromVersion: string
  toVersion: string
  /** Whether a verdict is returned; tests disable it to measure the harm without fault detection. @default true */
  enabled?: boolean
}

export function createRolloutJudge (options: JudgeOptions): RolloutJudge {
  const { fromVersion, toVersion, enabled = true } = options
  const routes = new Map<string, RouteState>()
  let pendingSamples = new Map<string, RolloutSample[]>()
  const requestsInStep = new Map<string, number>()
  const loadLevels = createLoadLevels()
  let batches = 0
  let lastBreakerBatch = -Infinity
  let verdict: Verdict | undefined

  function routeState (route: string): RouteState {
    let state = routes.get(route)
    if (state === undefined) {
      state = {
        tests: METRICS.map(({ largestStep }) => createSequentialTest({ largestStep })),
        baselines: METRICS.map(() => new Map<number, Counts>()),
        total: { exceedances: 0, trials: 0 },
        recent: []
      }
      routes.set(route, state)
    }
    return state
  }

  /** Returns the trials of a latency metric in the samples of one instance. */
  function latencyTrials (
    metric: Metric, samples: readonly RolloutSample[], baselines: Map<number, Counts>, level: number
  ): Trials | undefined {
    const newCounts = countsOf(samples, toVersion, metric)
    const oldCounts = countsOf(samples, fromVersion, metric)
    const newFraction = newCounts.trials / (newCounts.trials + oldCounts.trials)
    const comparable = oldCounts.trials > 0 && newFraction <= MAXIMUM_COMPARED_FRACTION
    if (comparable) {
      const before = baselines.get(level) ?? { exceedances: 0, trials: 0 }
      baselines.set(level, {
        exceedances: before.exceedances + oldCounts.exceedances, trials: before.trials + oldCounts.trials
      })
    }
    if (newCounts.trials === 0) return undefined
    const baselineRate = baselineAt(baselines, level)
    if (comparable) {
      // At a load that makes the old version slow as well, very slow responses still distinguish the versions.
      if (baselineRate !== undefined && baselineRate > MAXIMUM_BASELINE_RATE) {
        newCounts.exceedances = severeExceedancesOf(samples, toVersion, metric)
        oldCounts.exceedances = severeExceedancesOf(samples, fromVersion, metric)
      }
      const trials = newCounts.exceedances + oldCounts.exceedances
      const [nullRate, alternativeRate] = [
        expectedNewFraction(newFraction, NULL_RISK), expectedNewFraction(newFraction, ALTERNATIVE_RISK)
      ]
      return { exceedances: newCounts.exceedances, trials, nullRate, alternativeRate }
    }
    if (
      baselineRate !== undefined && baselineRate <= MAXIMUM_BASELINE_RATE
    ) return { ...newCounts, ...hypothesisRates(metric, baselineRate) }
    if (level > Math.max(...baselines.keys()) + MAXIMUM_UNKNOWN_LEVELS) return undefined
    const severe = severeExceedancesOf(samples, toVersion, metric)
    return { exceedances: severe, trials: newCounts.trials, ...hypothesisRates(metric, 0) }
  }

  function judgeFailures (state: RouteState, metric: Metric, samples: readonly RolloutSample[]): readonly Trials[] {
    const newCounts = countsOf(samples, toVersion, metric)
    const oldCounts = countsOf(samples, fromVersion, metric)
    recordRecent(state, oldCounts)
    state.total = {
      exceedances: state.total.exceedances + oldCounts.exceedances, trials: state.total.trials + oldCounts.trials
    }
    const rate = Math.max(rateOf([state.total]), rateOf(state.recent), rateOf([oldCounts]))
    return [{ ...newCounts, ...hypothesisRates(metric, rate) }]
  }

  function judgeRoute (route: string, groups: ReadonlyArray<readonly RolloutSample[]>, level: number): void {
    const state = routeState(route)
    for (const [index, metric] of METRICS.entries()) {
      const trials = metric.isLatency
        ? groups.map(group => latencyTrials(metric, group, state.baselines[index]!, level))
        : judgeFailures(state, metric, groups.flat())
      state.tests[index]!.add(trials.filter(trial => trial !== undefined))
    }
  }

  function recordRecent (state: RouteState, oldCounts: Counts): void {
    state.recent.push(oldCounts)
    if (state.recent.length > RECENT_BATCHES) state.recent.shift()
  }

  function findVerdict (): Verdict | undefined {
    for (const [route, state] of routes) {
      const index = state.tests.findIndex(test => test.isWorse())
      if (index !== -1) return { reason: METRICS[index]!.reason, route }
    }
    return undefined
  }

  return {
    add (instance, samples) {
      const relevant = samples.filter(sample => sample.version === toVersion || sample.version === fromVersion)
      pendingSamples.set(instance, [...pendingSamples.get(instance) ?? [], ...relevant])
    },
    evaluate () {
      const groups = [...pendingSamples.values()]
      const batch = groups.flat()
      pendingSamples = new Map()
      batches++
      if (batch.some(sample => sample.version === toVersion && sample.braked)) lastBreakerBatch = batches
      if (verdict !== undefined || batch.length === 0) return verdict
      const traffic = batch.reduce((sum, sample) => sum + sample.requests, 0)
      for (const { route, version, requests } of batch) {
        requestsInStep.set(route, (requestsInStep.get(route) ?? 0) + (version === toVersion ? requests : 0))
      }
      const level = loadLevels.nextLevel(traffic)
      for (const route of new Set(batch.map(sample => sample.route))) {
        judgeRoute(route, groups.map(group => group.filter(sample => sample.route === route)), level)
      }
      if (enabled) verdict = findVerdict()
      return verdict
    },
    hasSufficientRequests () {
      const counts = [...requestsInStep.values()]
      return counts.length > 0 && counts.every(count => count >= SUFFICIENT_ROUTE_REQUESTS) &&
        counts.reduce((sum, count) => sum + count, 0) >= SUFFICIENT_REQUESTS
    },
    isSafeToAdvance () {
      if (!enabled) return true
      const suspected = [...routes.values()].some(
        state => state.tests.some(test => test.evidence() >= HOLD_EVIDENCE)
      )
      return !suspected && batches - lastBreakerBatch > BREAKER_HOLD_BATCHES
    },
    startStep () {
      requestsInStep.clear()
    }
  }
}
