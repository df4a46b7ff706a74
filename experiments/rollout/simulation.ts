/** A fleet of routers with one rollout, in steps of one second, for measuring harm and wrong rollbacks. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { mersenne } from 'pure-rand/generator/mersenne'
import { createFakePlatform } from '../../src/platform/__tests__/fakePlatform'
import type { ModelConfiguration, RandomSource } from '../../src/types'
import { createRolloutLeader } from '../../src/rollout/leader'
import { createVersionCircuitBreaker } from '../../src/rollout/versionCircuitBreaker'
import { createRolloutSampler, type RequestOutcome } from '../../src/rollout/sampler'
import type { EngineState, RolloutRecord } from '../../src/rollout/types'
import { createRolloutView, type RolloutView } from '../../src/rollout/view'

const MODEL = 'chat'
const WARM_UP_SECONDS = 30
const ROUTES = [{ name: 'chat', part: 0.6 }, { name: 'completions', part: 0.3 }, { name: 'assistant', part: 0.1 }] as const
const TICK_MS = 1000

/** State in which a fault is asked for its effect. */
export interface Situation {
  /** Seconds since the rollout began. */
  age: number
  route: string
  /** Traffic relative to that outside the peak. */
  load: number
  /** Requests per second on the new version. */
  ownRate: number
}

/** What a bad version does to one request. */
export interface Effect {
  failureRate?: number
  firstTokenFactor?: number
  betweenTokensFactor?: number
}
export type FaultModel = (situation: Situation) => Effect | undefined

export interface SimulationOptions {
  seed: number
  seconds: number
  /** Requests per second of the whole fleet outside the peak. */
  rate: number
  fault?: FaultModel
  detection?: boolean
  finishBySeconds?: number
  /** Router instances. @default 8 */
  instances?: number
  /** @default 6 */
  engines?: number
  /** Engines that load weights at once. @default 2 */
  parallelLoads?: number
  /** Sends all traffic to the new version, without judgement, as soon as every engine has loaded it. @default false */
  switchAtOnce?: boolean
}

export interface SimulationResult {
  requests: number
  /** Requests that the fault made fail or slow. */
  harmed: number
  record: RolloutRecord | undefined
  /** Seconds from the start to the end of the rollout. */
  duration: number | undefined
  /** Seconds from the first request that the fault harmed to the rollback; undefined without either. */
  secondsToRollback: number | undefined
}

export async function simulateRollout (options: SimulationOptions): Promise<SimulationResult> {
  const { seed, seconds, rate, fault, switchAtOnce = false, detection = !switchAtOnce } = options
  const { instances: instanceCount = 8, engines: engineCount = 6, parallelLoads = 2 } = options
  const generator = mersenne(seed)
  const random: RandomSource = () => uniformFloat64(generator)
  const platform = createFakePlatform()
  const engines: EngineState[] = Array.from({ length: engineCount }, (_, index) => {
    return { name: `e${index}`, endpoint: { host: '127.0.0.1', port: 1 }, leaving: false, loaded: [`${MODEL}@v1`] }
  })
  const model: ModelConfiguration = {
    name: MODEL, version: 'v1', finishBy: undefined, maximumOutputTokens: 1, parallelLoads
  }
  let applied = { revision: 1, configuration: { dataCentres: [], customers: [], routes: [], models: [model] } }
  let now = 0
  const instances = Array.from({ length: instanceCount }, () => createInstance(() => now))
  const leader = createRolloutLeader({
    platform, self: { instance: 'i0', incarnation: 1 }, configuration: () => applied, engines: () => engines, detection
  })
  const peakStart = WARM_UP_SECONDS + random() * seconds * 0.5
  const crashes = [random() * seconds, random() * seconds].map(time => WARM_UP_SECONDS + Math.floor(time))
  let notices: RolloutRecord[] = []
  let startedAt: number | undefined
  let firstHarmAt: number | undefined
  let switched = false
  const result: SimulationResult = {
    requests: 0, harmed: 0, record: undefined, duration: undefined, secondsToRollback: undefined
  }

  for (let second = 0; second < WARM_UP_SECONDS + seconds; second++) {
    now = second * TICK_MS
    if (second === WARM_UP_SECONDS) {
      const finishBy = options.finishBySeconds === undefined ? undefined : now + options.finishBySeconds * 1000
      applied = { revision: 2, configuration: { ...applied.configuration, models: [{ ...model, version: 'v2', finishBy }] } }
      startedAt = now
    }
    // Records reach half of the instances at once, the others one tick after they were written.
    for (const notice of notices) for (const { view } of instances) view.applyIfNewer(notice)
    notices = []
    for (const effect of await leader.tick(now, now)) {
      if (effect.kind === 'record') {
        notices.push(effect.record)
        for (const { view } of instances.slice(0, instanceCount / 2)) view.applyIfNewer(effect.record)
        if (startedAt !== undefined && effect.record.toVersion === 'v2' && result.record?.phase !== effect.record.phase) {
          if (['finished', 'rolled_back'].includes(effect.record.phase)) result.duration ??= (now - startedAt) / 1000
          if (effect.record.phase === 'rolled_back' && firstHarmAt !== undefined) {
            result.secondsToRollback = (now - firstHarmAt) / 1000
          }
        }
        result.record = effect.record
      } else {
        const engine = engines.find(other => other.name === effect.engine)!
        const name = `${effect.command.model}@${effect.command.version}`
        engine.loaded = effect.command.kind === 'load' ? [...engine.loaded, name] : engine.loaded.filter(other => other !== name)
      }
    }
    if (switchAtOnce && !switched && engines.every(({ loaded }) => loaded.includes(`${MODEL}@v2`))) {
      switched = true
      result.duration = (now - startedAt!) / 1000
    }
    const load = 1 + (second >= peakStart && second < peakStart + 60 ? 1 : 0)
    serveSecond(second, load)
    for (const [index, { sampler }] of instances.entries()) leader.addSamples(`i${index}`, sampler.drain())
  }
  return result

  function chooseVersion (view: RolloutView): string {
    if (switchAtOnce) return switched ? 'v2' : 'v1'
    return view.chooseVersion(MODEL, random) ?? 'v1'
  }

  function serveSecond (second: number, load: number): void {
    const share = switched ? 1 : instances[0]!.view.record(MODEL)?.share ?? 0
    const age = startedAt === undefined ? 0 : (now - startedAt) / 1000
    const crashed = crashes.includes(second)
    const requests = rate * load * (0.85 + 0.3 * random())
    for (let request = 0; request < requests; request++) {
      const instance = instances[Math.floor(random() * instanceCount)]!
      const version = chooseVersion(instance.view)
      const route = chooseRoute(random)
      const fresh = version === 'v2'
      const effect = fresh ? fault?.({ age, route, load, ownRate: share * rate * load }) : undefined
      // Requests of a new version gather on few engines by prefix, so that one crash hits a larger part of them.
      const crashRate = crashed ? (fresh ? 0.8 : 0.3) : 0
      const faulty = effect !== undefined && random() < (effect.failureRate ?? 0)
      const failed = faulty || random() < 0.001 + crashRate
      const computedTokens = random() < (fresh ? 0.3 + 0.7 / (1 + share * age) : 0.1) ? 4000 : 200
      const queueing = 1 + (load - 1) * (1 + random())
      const firstToken = (20 + computedTokens * 0.1) * queueing * noise(random, 0.4)
      const betweenTokens = 20 * (1 + (load - 1) * 0.3) * noise(random, 0.15)
      const outcome: RequestOutcome = {
        model: MODEL,
        version,
        route,
        failed,
        firstToken: failed ? undefined : firstToken * (effect?.firstTokenFactor ?? 1),
        betweenTokens: failed ? undefined : betweenTokens * (effect?.betweenTokensFactor ?? 1),
        computedTokens
      }
      instance.sampler.record(outcome)
      if (fresh) instance.brake.record(MODEL, version, route, failed, now)
      if (second < WARM_UP_SECONDS) continue
      result.requests++
      if (faulty || (effect?.firstTokenFactor ?? 1) > 1 || (effect?.betweenTokensFactor ?? 1) > 1) {
        result.harmed++
        firstHarmAt ??= now
      }
    }
  }
}

function createInstance (now: () => number) {
  const brake = createVersionCircuitBreaker()
  const view = createRolloutView({ isCircuitOpen: (model, version) => brake.isOpen(model, version, now()) })
  const sampler = createRolloutSampler({
    referenceVersion: model => view.record(model)?.fromVersion,
    isCircuitOpen: (model, version, route) => brake.isOpenForRoute(model, version, route, now())
  })
  return { brake, view, sampler }
}

function chooseRoute (random: RandomSource): string {
  let rest = random()
  for (const { name, part } of ROUTES) {
    rest -= part
    if (rest < 0) return name
  }
  return ROUTES[0].name
}

/** Log-normal factor with median 1 (Box-Muller). */
function noise (random: RandomSource, sigma: number): number {
  return Math.exp(sigma * Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random()))
}
