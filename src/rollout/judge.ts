/**
 * Judges a new version against the old one, per route and metric, from the samples of all instances.
 *
 * While both versions carry traffic on a route, the requests that exceed (failures, slow first tokens, slow tokens) are
 * compared over the same period: each exceedance is a Bernoulli trial that falls on the new version with a probability
 * given by its part of the requests. With part s, a relative risk r gives r*s / (r*s + 1 - s). Null hypothesis: r is at
 * most `NULL_RISK`; alternative: r is at least `ALTERNATIVE_RISK`. A disturbance that hits both versions cancels out.
 *
 * Without old traffic (full share) the rate of exceedances is compared with the rate that the old version had before. Slow
 * answers are then judged only while the traffic is not above what the comparison has seen, since load alone slows answers.
 */
import { RollbackReason, type RolloutSample } from './types'
import { createSequentialTest, type SequentialTest } from './sequentialTest'

/** Relative risk up to which a version is as good as the old one. */
export const NULL_RISK = 1.5
/** Relative risk from which a version is bad. */
export const ALTERNATIVE_RISK = 3
/** Part of the requests on the new version above which the old version's sample is too small for a comparison. */
const LARGEST_COMPARED_PART = 0.9
/** One batch contributes at most this part of the bound; a crash of one engine fails many requests in one batch. */
const LARGEST_BATCH_STEP = 0.7
/** Traffic, relative to the highest during the comparison, above which slow answers say nothing about the version. */
const LOAD_MARGIN = 1.25
/** Instances whose local brake is on at the same time that decide without further evidence. */
const BRAKES_THAT_DECIDE = 2
/** Evidence, as a part of the bound, from which one local brake decides. */
const EVIDENCE_WITH_BRAKE = 0.5
/** Evidence above which the share does not rise. */
const EVIDENCE_THAT_HOLDS = 0.3

interface Metric {
  reason: RollbackReason
  exceedances: (sample: RolloutSample) => number
  trials: (sample: RolloutSample) => number
  /** Lowest rates of the hypotheses without old traffic. */
  lowestNullRate: number
  lowestAlternativeRate: number
  dependsOnLoad: boolean
}

const METRICS: readonly Metric[] = [{
  reason: RollbackReason.failures,
  exceedances: sample => sample.failures,
  trials: sample => sample.requests,
  lowestNullRate: 0.005,
  lowestAlternativeRate: 0.05,
  dependsOnLoad: false
}, {
  reason: RollbackReason.slowFirstToken,
  exceedances: sample => sample.slowFirstTokens,
  trials: sample => sample.firstTokens,
  lowestNullRate: 0.15,
  lowestAlternativeRate: 0.4,
  dependsOnLoad: true
}, {
  reason: RollbackReason.slowTokens,
  exceedances: sample => sample.slowTokens,
  trials: sample => sample.betweenTokens,
  lowestNullRate: 0.15,
  lowestAlternativeRate: 0.4,
  dependsOnLoad: true
}]

export interface Verdict {
  reason: RollbackReason
  route: string
}

export interface RolloutJudge {
  add: (instance: string, samples: readonly RolloutSample[]) => void
  /** Judges everything added since the last call. Called once in each reporting interval. */
  evaluate: () => Verdict | undefined
  /** Requests on the new version since `startStep`. */
  requestsInStep: () => number
  /** False while some test leans towards a fault, so that the share must not rise. */
  clear: () => boolean
  startStep: () => void
}

interface RouteState {
  /** In the order of `METRICS`. */
  tests: readonly SequentialTest[]
  /** Exceedances and trials of the old version during the comparison, in the order of `METRICS`. */
  baselines: ReadonlyArray<{ exceedances: number, trials: number }>
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
  const brakes = new Map<string, Set<string>>()
  let pending: RolloutSample[] = []
  let highestTraffic = 0
  let requestsInStep = 0
  let verdict: Verdict | undefined

  function routeState (route: string): RouteState {
    let state = routes.get(route)
    if (state === undefined) {
      state = {
        tests: METRICS.map(() => createSequentialTest({ largestStep: LARGEST_BATCH_STEP })),
        baselines: METRICS.map(() => ({ exceedances: 0, trials: 0 }))
      }
      routes.set(route, state)
    }
    return state
  }

  function judgeMetric (state: RouteState, index: number, batch: readonly RolloutSample[], loadKnown: boolean): void {
    const metric = METRICS[index]!
    const test = state.tests[index]!
    const baseline = state.baselines[index]!
    const fresh = sumOf(batch, toVersion, metric)
    const old = sumOf(batch, fromVersion, metric)
    const part = fresh.trials / (fresh.trials + old.trials)
    if (old.trials > 0 && part <= LARGEST_COMPARED_PART) {
      baseline.exceedances += old.exceedances
      baseline.trials += old.trials
      if (fresh.trials === 0) return
      test.add(
        fresh.exceedances, fresh.exceedances + old.exceedances, risked(part, NULL_RISK), risked(part, ALTERNATIVE_RISK)
      )
    } else if (fresh.trials > 0 && (loadKnown || !metric.dependsOnLoad)) {
      const rate = baseline.trials === 0 ? 0 : baseline.exceedances / baseline.trials
      const nullRate = Math.min(0.6, Math.max(metric.lowestNullRate, rate * NULL_RISK))
      const alternativeRate = Math.min(0.9, Math.max(metric.lowestAlternativeRate, rate * ALTERNATIVE_RISK))
      test.add(fresh.exceedances, fresh.trials, nullRate, alternativeRate)
    }
  }

  function noteBrake (instance: string, sample: RolloutSample): void {
    const braked = brakes.get(sample.route) ?? new Set<string>()
    if (sample.braked) braked.add(instance)
    else braked.delete(instance)
    brakes.set(sample.route, braked)
  }

  function decide (): Verdict | undefined {
    for (const [route, state] of routes) {
      const braked = brakes.get(route)?.size ?? 0
      for (const [index, test] of state.tests.entries()) {
        const { reason } = METRICS[index]!
        const withBrake = braked >= 1 && reason === RollbackReason.failures && test.evidence() >= EVIDENCE_WITH_BRAKE
        if (test.worse() || withBrake) return { reason, route }
      }
      if (braked >= BRAKES_THAT_DECIDE) return { reason: RollbackReason.failures, route }
    }
    return undefined
  }

  return {
    add (instance, samples) {
      for (const sample of samples) {
        if (sample.version !== toVersion && sample.version !== fromVersion) continue
        pending.push(sample)
        if (sample.version === toVersion) noteBrake(instance, sample)
      }
    },
    evaluate () {
      const batch = pending
      pending = []
      if (verdict !== undefined || batch.length === 0) return verdict
      const traffic = batch.reduce((sum, sample) => sum + sample.requests, 0)
      const fresh = batch.reduce((sum, sample) => sum + (sample.version === toVersion ? sample.requests : 0), 0)
      requestsInStep += fresh
      const loadKnown = traffic <= highestTraffic * LOAD_MARGIN
      if (fresh <= traffic * LARGEST_COMPARED_PART) highestTraffic = Math.max(highestTraffic, traffic)
      for (const route of new Set(batch.map(sample => sample.route))) {
        const state = routeState(route)
        const samples = batch.filter(sample => sample.route === route)
        for (const index of METRICS.keys()) judgeMetric(state, index, samples, loadKnown)
      }
      if (enabled) verdict = decide()
      return verdict
    },
    requestsInStep: () => requestsInStep,
    clear: () => !enabled || [...routes.values()].every(
      state => state.tests.every(test => test.evidence() < EVIDENCE_THAT_HOLDS)
    ),
    startStep () {
      requestsInStep = 0
    }
  }
}

function risked (part: number, risk: number): number {
  return risk * part / (risk * part + 1 - part)
}

function sumOf (
  batch: readonly RolloutSample[], version: string, metric: Metric
): { exceedances: number, trials: number } {
  let exceedances = 0
  let trials = 0
  for (const sample of batch) {
    if (sample.version !== version) continue
    exceedances += metric.exceedances(sample)
    trials += metric.trials(sample)
  }
  return { exceedances, trials }
}
