/** One run of `bad-version`: four bad versions and a good one are rolled out, each on its own, under one policy. */
import type { RunRequest } from '../model/run'
import { PRESETS } from '../model/presets'
import { simulateRollout } from './simulation'
import type { FaultModel } from './simulation'

export const BAD_VERSION = 'bad-version'

/** The baselines switch all traffic at once and differ in no other point here, since engine choice is not modelled. */
export const ROLLOUT_POLICIES = ['round-robin', 'least-loaded', 'consistent-hash', 'waxwingspoke']

export const GOOD = 'good'

const BAD_SECONDS = 300
/** A good version has to finish within 150 s; the rest shows a rollback that comes late. */
const GOOD_SECONDS = 170
const FINISH_BY_SECONDS = 150

/** Faults by name; `rate` is the arrival rate of the fleet outside the peak, in requests per second. */
const FAULTS: Readonly<Record<string, (rate: number) => FaultModel>> = {
  'fails at once': () => () => ({ failureRate: 0.3 }),
  'fails after a minute': () => ({ age }) => age > 60 ? { failureRate: 0.5 } : undefined,
  'slow under load': rate => ({ ownRate }) => ownRate > 0.3 * rate ? { firstTokenFactor: 3 } : undefined,
  'fails on one route': () => ({ route }) => route === 'assistant' ? { failureRate: 0.4 } : undefined
}

export interface RolloutRequest extends RunRequest {
  /** Runs the good version only. @default false */
  goodOnly?: boolean
}

export interface VersionResult {
  version: string
  requests: number
  harmed: number
  /** Part of all requests that the fault made fail or slow. */
  harmedShare: number
  rolledBack: boolean
  /** From the fault's first effect; null without an effect or a rollback. */
  secondsToRollback: number | null
  /** Null for a bad version, which has no deadline. */
  finishedInTime: boolean | null
}

export interface RolloutResult extends RolloutRequest {
  versions: VersionResult[]
}

export async function runRolloutExperiment (request: RolloutRequest): Promise<RolloutResult> {
  const versions: VersionResult[] = []
  for (const [version, fault] of Object.entries(FAULTS)) {
    if (request.goodOnly !== true) versions.push(await runVersion(request, version, fault))
  }
  versions.push(await runVersion(request, GOOD, undefined))
  return { ...request, versions }
}

async function runVersion (
  request: RolloutRequest, version: string, fault: ((rate: number) => FaultModel) | undefined
): Promise<VersionResult> {
  const { requestsPerSecond: rate, engines, routers, parallelLoads } = PRESETS[request.preset]!
  const { requests, harmed, record, duration, secondsToRollback } = await simulateRollout({
    seed: request.seed,
    seconds: fault === undefined ? GOOD_SECONDS : BAD_SECONDS,
    finishBySeconds: fault === undefined ? FINISH_BY_SECONDS : undefined,
    rate,
    fault: fault?.(rate),
    instances: routers,
    engines,
    parallelLoads,
    switchAtOnce: request.policy !== 'waxwingspoke'
  })
  const rolledBack = record?.phase === 'rolled_back'
  return {
    version,
    requests,
    harmed,
    harmedShare: harmed / requests,
    rolledBack,
    secondsToRollback: secondsToRollback ?? null,
    finishedInTime: fault === undefined ? !rolledBack && duration !== undefined && duration <= FINISH_BY_SECONDS : null
  }
}
