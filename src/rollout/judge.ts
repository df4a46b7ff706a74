/**
 * Judges a new version against the old one, per route and metric, from the samples of all instances.
 *
 * The null hypothesis is a relative risk of at most `NULL_RISK`, the alternative one of at least `ALTERNATIVE_RISK`.
 *
 * Slow answers: while both versions carry traffic on a route, each slow answer is a Bernoulli trial that falls on the new
 * version with a probability given by its part of the requests. With part s, a relative risk r gives r*s / (r*s + 1 - s).
 * A disturbance that hits both versions cancels out. Each instance is compared with itself only, since every instance
 * measures slowness by its own reference. Without old traffic (full share) the rate of slow answers is compared
 * with the rate that the old version had before under the same or a higher load. Under a load that the comparison has not
 * seen, or that made the old version slow as well, only very slow answers count, since load alone slows answers.
 *
 * Failures: each request on the new version is a trial, and the rate of the null hypothesis comes from the failures of the
 * old version over the same period. Failures are too rare for the other form, in which only failures would speak for a
 * version: after a burst of failures its evidence would stand for minutes.
 */
import { baselineAt, createLoadLevels, LARGEST_BASELINE_RATE } from './loadBaseline'
import {
  ALTERNATIVE_RISK, METRICS, NULL_RISK, rateOf, ratesAbove, risked, sumOf, sumOfClear, type Counts, type Metric
} from './judgedMetrics'
import { createSequentialTest, type SequentialTest, type Trials } from './sequentialTest'
import type { RollbackReason, RolloutSample } from './types'

/** Part of the requests on the new version above which the old version's sample is too small for a comparison. */
const LARGEST_COMPARED_PART = 0.9
/** Load levels above the highest known one at which nothing is said about slowness: more than 2.4 times its traffic. */
const JUDGED_LEVELS_ABOVE = 4
/** Requests on the new version, in all and on each route, that allow the next share before the longest time has passed. */
const SUFFICIENT_REQUESTS = 200
const SUFFICIENT_ON_ROUTE = 30
/** Batches, i.e. seconds, over which the old version's failures are averaged besides those of the present batch. */
const RECENT_BATCHES = 10
/** Evidence above which the share does not rise. */
const EVIDENCE_THAT_HOLDS = 0.3

/** Batches for which the share does not rise after an instance has reported that its local brake is on. */
const BRAKE_HOLD_BATCHES = 10

export interface Verdict {
  reason: RollbackReason
  route: string
}

export interface RolloutJudge {
  add: (instance: string, samples: readonly RolloutSample[]) => void
  /** Judges everything added since the last call. Called once in each reporting interval. */
  evaluate: () => Verdict | undefined
  /** True when every route that has traffic has shown enough requests on the new version since `startStep`. */
  sufficient: () => boolean
  /** False while some test leans towards a fault, so that the share must not rise. */
  clear: () => boolean
  startStep: () => void
}

interface RouteState {
  /** In the order of `METRICS`. */
  tests: readonly SequentialTest[]
  /** For each metric, in the order of `METRICS`, what the old version did at each load level during the comparison. */
  baselines: ReadonlyArray<Map<number, Counts>>
  /** Failures and requests of the old version since the rollout began. */
  total: Counts
  /** Failures and requests of the old version in the last batches, newest last. */
  recent: Counts[]
}

export interface JudgeOptions {
  fromVersion: string
  toVersion: string
  /** @default true; false serves tests that show what the detection prevents */
  enabled?: boolean
}

export function createRolloutJudge (options: JudgeOptions): RolloutJudge {
  const { fromVersion, toVersion, enabled = true } = options
  const routes = new Map<string, RouteState>()
  let pending = new Map<string, RolloutSample[]>()
  const inStep = new Map<string, number>()
  const loadLevels = createLoadLevels()
  let batches = 0
  let brakedBatch = -Infinity
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

  /** Trials of a slowness metric in the samples of one instance. */
  function slownessTrials (
    metric: Metric, samples: readonly RolloutSample[], baselines: Map<number, Counts>, level: number
  ): Trials | undefined {
    const fresh = sumOf(samples, toVersion, metric)
    const old = sumOf(samples, fromVersion, metric)
    const part = fresh.trials / (fresh.trials + old.trials)
    const compared = old.trials > 0 && part <= LARGEST_COMPARED_PART
    if (compared) {
      const before = baselines.get(level) ?? { exceedances: 0, trials: 0 }
      baselines.set(level, { exceedances: before.exceedances + old.exceedances, trials: before.trials + old.trials })
    }
    if (fresh.trials === 0) return undefined
    const known = baselineAt(baselines, level)
    if (compared) {
      // Where the load makes the old version slow as well, very slow answers still tell the versions apart.
      if (known !== undefined && known > LARGEST_BASELINE_RATE) {
        fresh.exceedances = sumOfClear(samples, toVersion, metric)
        old.exceedances = sumOfClear(samples, fromVersion, metric)
      }
      const trials = fresh.exceedances + old.exceedances
      const [nullRate, alternativeRate] = [risked(part, NULL_RISK), risked(part, ALTERNATIVE_RISK)]
      return { exceedances: fresh.exceedances, trials, nullRate, alternativeRate }
    }
    if (known !== undefined && known <= LARGEST_BASELINE_RATE) return { ...fresh, ...ratesAbove(metric, known) }
    if (level > Math.max(...baselines.keys()) + JUDGED_LEVELS_ABOVE) return undefined
    const clear = sumOfClear(samples, toVersion, metric)
    return { exceedances: clear, trials: fresh.trials, ...ratesAbove(metric, 0) }
  }

  function judgeFailures (state: RouteState, metric: Metric, samples: readonly RolloutSample[]): readonly Trials[] {
    const fresh = sumOf(samples, toVersion, metric)
    const old = sumOf(samples, fromVersion, metric)
    noteRecent(state, old)
    state.total = { exceedances: state.total.exceedances + old.exceedances, trials: state.total.trials + old.trials }
    const rate = Math.max(rateOf([state.total]), rateOf(state.recent), rateOf([old]))
    return [{ ...fresh, ...ratesAbove(metric, rate) }]
  }

  function judgeRoute (route: string, groups: ReadonlyArray<readonly RolloutSample[]>, level: number): void {
    const state = routeState(route)
    for (const [index, metric] of METRICS.entries()) {
      const trials = metric.slowness
        ? groups.map(group => slownessTrials(metric, group, state.baselines[index]!, level))
        : judgeFailures(state, metric, groups.flat())
      state.tests[index]!.add(trials.filter(trial => trial !== undefined))
    }
  }

  function noteRecent (state: RouteState, old: Counts): void {
    state.recent.push(old)
    if (state.recent.length > RECENT_BATCHES) state.recent.shift()
  }

  function decide (): Verdict | undefined {
    for (const [route, state] of routes) {
      const index = state.tests.findIndex(test => test.worse())
      if (index !== -1) return { reason: METRICS[index]!.reason, route }
    }
    return undefined
  }

  return {
    add (instance, samples) {
      const relevant = samples.filter(sample => sample.version === toVersion || sample.version === fromVersion)
      pending.set(instance, [...pending.get(instance) ?? [], ...relevant])
    },
    evaluate () {
      const groups = [...pending.values()]
      const batch = groups.flat()
      pending = new Map()
      batches++
      if (batch.some(sample => sample.version === toVersion && sample.braked)) brakedBatch = batches
      if (verdict !== undefined || batch.length === 0) return verdict
      const traffic = batch.reduce((sum, sample) => sum + sample.requests, 0)
      for (const { route, version, requests } of batch) {
        inStep.set(route, (inStep.get(route) ?? 0) + (version === toVersion ? requests : 0))
      }
      const level = loadLevels.next(traffic)
      for (const route of new Set(batch.map(sample => sample.route))) {
        judgeRoute(route, groups.map(group => group.filter(sample => sample.route === route)), level)
      }
      if (enabled) verdict = decide()
      return verdict
    },
    sufficient () {
      const counts = [...inStep.values()]
      return counts.length > 0 && counts.every(count => count >= SUFFICIENT_ON_ROUTE) &&
        counts.reduce((sum, count) => sum + count, 0) >= SUFFICIENT_REQUESTS
    },
    clear () {
      if (!enabled) return true
      const leaning = [...routes.values()].some(
        state => state.tests.some(test => test.evidence() >= EVIDENCE_THAT_HOLDS)
      )
      return !leaning && batches - brakedBatch > BRAKE_HOLD_BATCHES
    },
    startStep () {
      inStep.clear()
    }
  }
}
