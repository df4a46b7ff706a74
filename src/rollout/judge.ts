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
import { RollbackReason, type RolloutSample } from './types'
import { createSequentialTest, type SequentialTest, type Trials } from './sequentialTest'

/** Relative risk up to which a version is as good as the old one. */
export const NULL_RISK = 1.5
/** Relative risk from which a version is bad. */
export const ALTERNATIVE_RISK = 3
/** Part of the requests on the new version above which the old version's sample is too small for a comparison. */
const LARGEST_COMPARED_PART = 0.9
/** Requests in one batch are grouped into load levels, each higher than the one before it by this factor. */
const LOAD_LEVEL_FACTOR = 1.25
/** Load levels above the highest known one at which nothing is said about slowness: more than 2.4 times its traffic. */
const JUDGED_LEVELS_ABOVE = 4
/** Load levels that make about one and a half times the traffic. */
const MUCH_HIGHER_LEVELS = 2
/** Batches whose mean traffic is the least that a batch counts as, so that chance does not make the load seem low. */
const TRAFFIC_BATCHES = 3
/** Rate at which the old version exceeds its own reference, the 95th percentile. */
const REFERENCE_RATE = 0.05
/** Requests of the old version at a load level below which it is no baseline. */
const MINIMUM_BASELINE = 100
/** Rate of slow answers of the old version above which a relative risk cannot be seen. */
const LARGEST_BASELINE_RATE = 0.25
/** Requests on the new version, in all and on each route, that allow the next share before the longest time has passed. */
const SUFFICIENT_REQUESTS = 200
const SUFFICIENT_ON_ROUTE = 30
/** Batches, i.e. seconds, over which the old version's failures are averaged besides those of the present batch. */
const RECENT_BATCHES = 10
/** Evidence above which the share does not rise. */
const EVIDENCE_THAT_HOLDS = 0.3

/** Batches for which the share does not rise after an instance has reported that its local brake is on. */
const BRAKE_HOLD_BATCHES = 10

interface Metric {
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

const METRICS: readonly Metric[] = [{
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

interface Counts {
  exceedances: number
  trials: number
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
  const recentTraffic: number[] = []
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

  function levelOf (traffic: number): number {
    recentTraffic.push(traffic)
    if (recentTraffic.length > TRAFFIC_BATCHES) recentTraffic.shift()
    const mean = recentTraffic.reduce((sum, other) => sum + other, 0) / recentTraffic.length
    return Math.ceil(Math.log(Math.max(1, traffic, mean)) / Math.log(LOAD_LEVEL_FACTOR))
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
      const level = levelOf(traffic)
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

/** Rates of the hypotheses when the old version exceeds at `rate`. */
function ratesAbove (metric: Metric, rate: number): Pick<Trials, 'nullRate' | 'alternativeRate'> {
  return {
    nullRate: Math.min(0.6, Math.max(metric.lowestNullRate, rate * NULL_RISK)),
    alternativeRate: Math.min(0.9, Math.max(metric.lowestAlternativeRate, rate * ALTERNATIVE_RISK))
  }
}

function risked (part: number, risk: number): number {
  return risk * part / (risk * part + 1 - part)
}

/** Rate of the old version at the lowest known level that is not below `level`; undefined when there is none. */
function baselineAt (baselines: ReadonlyMap<number, Counts>, level: number): number | undefined {
  const levels = [...baselines.entries()].filter(
    ([known, counts]) => known >= level && counts.trials >= MINIMUM_BASELINE
  )
  const nearest = levels.sort(([left], [right]) => left - right)[0]
  if (nearest === undefined) return undefined
  const rate = rateOf([nearest[1]])
  // The reference is the old version's 95th percentile before the rollout. If it was exceeded often under a much higher
  // load, it comes from a lower load.
  return rate > LARGEST_BASELINE_RATE && nearest[0] - level >= MUCH_HIGHER_LEVELS ? REFERENCE_RATE : rate
}

function sumOfClear (batch: readonly RolloutSample[], version: string, metric: Metric): number {
  return batch.reduce((sum, sample) => sum + (sample.version === version ? metric.clearExceedances(sample) : 0), 0)
}

function rateOf (counts: ReadonlyArray<Counts>): number {
  const trials = counts.reduce((sum, count) => sum + count.trials, 0)
  return trials === 0 ? 0 : counts.reduce((sum, count) => sum + count.exceedances, 0) / trials
}

function sumOf (
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
