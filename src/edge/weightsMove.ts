/** Decides which engine loads new weights next. */
import type { MonotonicMilliseconds } from '../types'
import { currentWait, isLeaving, isUsable, learnWeights, type Upstream } from './upstreamDirectory'
import { OrderOutcome } from './types'
import { elapsed } from './freshness'
import type { EngineReport, Instant, ModelWeights } from './types'

/** Part of the usable engines under order at the same time; engines of the deployments load longer while more do so. */
const PARALLEL_SHARE = 0.28
/** The same while requests wait at the engines, so that the others can carry the load. */
const BUSY_PARALLEL_SHARE = 0.2
/** Mean milliseconds to the first byte from which the engines count as busy. */
const BUSY_WAIT_MS = 200
/** Milliseconds after which an accepted order is looked at again when the engine does not show the new weights. */
const LOAD_LIMIT_MS = 5000
/** Milliseconds between reports of an engine that loads. */
const REPORT_INTERVAL_MS = 200
/** Names of weights remembered for one model; engines with older ones are far beyond their time. */
const NAMES_REMEMBERED = 16
/** Engine processes whose newest weights are remembered; more than the largest deployments have. */
const ENGINES_REMEMBERED = 2000
/** Milliseconds for which the word of the lease's holder counts; it speaks several times in this while engines load. */
const PROGRESS_MS = 1000
/** Milliseconds before an engine with a failed or conflicting order is looked at again. */
const RETRY_MS = 600

export interface WeightsStep {
  kind: 'report' | 'order'
  upstream: Upstream
  wanted: ModelWeights
}

interface LoadState {
  startedAt: number
  wanted: ModelWeights
  /** Since when the order runs; undefined while the engine has not accepted one. */
  orderedAt: MonotonicMilliseconds | undefined
  lookAgainAt: MonotonicMilliseconds
  report: EngineReport | undefined
}

export interface WeightsMove {
  /**
   * Notes the weights that the operator names; older ones are ignored. `after` is an instant before they were named,
   * undefined when none is known.
   */
  want: (weights: ModelWeights, after: Instant | undefined) => boolean
  wanted: (model: string) => number | undefined
  /** Most milliseconds that weights newer than `version` may have been named for; 0 when it is the newest. */
  age: (model: string, version: number, now: Instant) => number
  /**
   * Engines that are under order now or next: by what the holder of the lease said last, or else by all that an instance
   * without the lease can tell.
   */
  underOrder: (upstreams: Iterable<Upstream>, now: MonotonicMilliseconds) => ReadonlySet<Upstream>
  /** Whether some engine still has older weights. */
  isPending: (upstreams: Iterable<Upstream>) => boolean
  /** What to do next with engines; the caller reports back with `reported`, `ordered` or `failed`. */
  nextSteps: (upstreams: Iterable<Upstream>, now: MonotonicMilliseconds) => WeightsStep[]
  reported: (upstream: Upstream, report: EngineReport, now: MonotonicMilliseconds) => void
  ordered: (upstream: Upstream, outcome: OrderOutcome, now: MonotonicMilliseconds) => void
  failed: (upstream: Upstream, now: MonotonicMilliseconds) => void
  /** Orders that the engine had accepted at its last report. */
  acceptedOrders: (upstream: Upstream) => number
  /** Forgets what this instance ordered, when it loses the lease. */
  reset: () => void
  /** What the holder of the lease tells the others. */
  progress: (upstreams: Iterable<Upstream>, now: MonotonicMilliseconds) => LoadProgress
  /** Takes in what the holder of the lease said. */
  takeProgress: (progress: LoadProgress, upstreams: Iterable<Upstream>, now: MonotonicMilliseconds) => void
}

/** How far the engines of a move are. */
export interface LoadProgress {
  /** Identifiers of the engines that are under order now or next. */
  underOrder: readonly string[]
  /** Engines whose weights were found a short time ago, with the start of the process that has them. */
  weights: ReadonlyArray<ModelWeights & { upstream: string, startedAt: number }>
}

/** Undefined for what is no progress. */
export function readProgress ({ underOrder, weights }: Readonly<Record<string, unknown>>): LoadProgress | undefined {
  const isText = (value: unknown): value is string => typeof value === 'string'
  if (!Array.isArray(underOrder) || !underOrder.every(isText) || !Array.isArray(weights)) return undefined
  const isSound = (weights as Array<Partial<LoadProgress['weights'][number]>>).every((entry) => (
    isText(entry?.upstream) && isText(entry.model) && Number.isFinite(entry.version) && Number.isFinite(entry.startedAt)
  ))
  return isSound ? { underOrder, weights: weights as LoadProgress['weights'] } : undefined
}

/** Engines that may be under order at the same time. */
function parallelLoads (engines: readonly Upstream[], now: MonotonicMilliseconds): number {
  const usable = engines.filter((upstream) => isUsable(upstream, now))
  const waits = usable.flatMap((upstream) => [...upstream.waits.keys()].map((rank) => currentWait(upstream, rank, now)))
  const mean = waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length)
  if (mean > BUSY_WAIT_MS) return Math.max(1, Math.round(usable.length * BUSY_PARALLEL_SHARE))
  // Rounded up, so that a move of few engines ends within the time in which old weights may be used.
  return Math.max(1, Math.ceil(usable.length * PARALLEL_SHARE))
}

function listEngines (upstreams: Iterable<Upstream>): Upstream[] {
  return [...upstreams].filter((upstream) => upstream.weights.size > 0 && !isLeaving(upstream))
}

/**
 * The oldest weights first: an engine that was just brought to superseded ones can wait. The identifier decides between
 * equals, so that all instances see the same order.
 */
function inOrder (
  engines: readonly Upstream[], behind: (upstream: Upstream) => ModelWeights | undefined
): Upstream[] {
  const versionOf = (upstream: Upstream): number => upstream.weights.get(behind(upstream)?.model ?? '') ?? Infinity
  return [...engines].sort((one, other) => (
    versionOf(one) - versionOf(other) || (one.entry.identifier < other.entry.identifier ? -1 : 1)
  ))
}

export function createWeightsMove (): WeightsMove {
  const targets = new Map<string, number>()
  /** What was named when, by model, the oldest first. */
  const named = new Map<string, Array<{ version: number, after: Instant | undefined }>>()
  const loads = new Map<string, LoadState>()
  /** When the weights of each engine were first seen. */
  const found = new Map<string, { version: number, at: MonotonicMilliseconds }>()
  let told: { underOrder: ReadonlySet<string>, at: MonotonicMilliseconds } | undefined

  /** Weights that the engine should load; undefined when it has the newest ones. */
  function behind (upstream: Upstream): ModelWeights | undefined {
    if (isLeaving(upstream)) return undefined
    for (const [model, version] of upstream.weights) {
      const target = targets.get(model)
      if (target !== undefined && version < target) return { model, version: target }
    }
    return undefined
  }

  function stateOf (upstream: Upstream, wanted: ModelWeights): LoadState {
    const { identifier, startedAt } = upstream.entry
    const present = loads.get(identifier)
    if (present?.startedAt === startedAt && present.wanted.version === wanted.version) return present
    // An engine that still loads superseded weights goes on to count as loading.
    const orderedAt = present?.startedAt === startedAt ? present.orderedAt : undefined
    const state: LoadState = { startedAt, wanted, orderedAt, lookAgainAt: -Infinity, report: undefined }
    loads.set(identifier, state)
    return state
  }

  /** Weights of the engine that were found a short time ago. */
  function newWeights ({ entry, weights }: Upstream, now: MonotonicMilliseconds): LoadProgress['weights'] {
    const { identifier, startedAt } = entry
    return [...weights].flatMap(([model, version]) => {
      const subject = `${identifier}/${startedAt}/${model}`
      const present = found.get(subject)
      if (present?.version === version) {
        return now - present.at < PROGRESS_MS ? [{ upstream: identifier, startedAt, model, version }] : []
      }
      found.set(subject, { version, at: now })
      const oldest = found.keys().next().value
      if (found.size > ENGINES_REMEMBERED && oldest !== undefined) found.delete(oldest)
      return [{ upstream: identifier, startedAt, model, version }]
    })
  }

  /** Engines with older weights that are under order now or next. */
  function nextUnderOrder (engines: readonly Upstream[], now: MonotonicMilliseconds): Upstream[] {
    const waiting = engines.filter((upstream) => behind(upstream) !== undefined && isUsable(upstream, now))
    return inOrder(waiting, behind).slice(0, parallelLoads(engines, now))
  }

  function isLoading (state: LoadState, now: MonotonicMilliseconds): boolean {
    return state.orderedAt !== undefined && now - state.orderedAt < LOAD_LIMIT_MS
  }

  return {
    want ({ model, version }, after) {
      if (version <= (targets.get(model) ?? 0)) return false
      targets.set(model, version)
      named.set(model, [...(named.get(model) ?? []), { version, after }].slice(-NAMES_REMEMBERED))
      return true
    },
    age (model, version, now) {
      const first = named.get(model)?.find((entry) => entry.version > version)
      if (first === undefined) return 0
      return first.after === undefined ? Infinity : elapsed(first.after, now)
    },
    underOrder (upstreams, now) {
      const engines = listEngines(upstreams)
      if (told !== undefined && now - told.at < PROGRESS_MS) {
        const { underOrder } = told
        const isNamed = ({ entry }: Upstream): boolean => underOrder.has(entry.identifier)
        return new Set(engines.filter((upstream) => isNamed(upstream) && behind(upstream) !== undefined))
      }
      return new Set(nextUnderOrder(engines, now))
    },
    wanted: (model) => targets.get(model),
    isPending (upstreams) {
      for (const upstream of upstreams) if (behind(upstream) !== undefined) return true
      return false
    },
    nextSteps (upstreams, now) {
      const engines = listEngines(upstreams)
      const waiting = inOrder(engines, behind).flatMap((upstream) => {
        const wanted = behind(upstream)
        return wanted === undefined ? [] : [{ upstream, wanted, state: stateOf(upstream, wanted) }]
      })
      const limit = parallelLoads(engines, now)
      let loading = waiting.filter(({ state }) => isLoading(state, now)).length
      const steps: WeightsStep[] = []
      for (const { upstream, wanted, state } of waiting) {
        if (now < Math.max(state.lookAgainAt, upstream.restsUntil)) continue
        const isStarted = isLoading(state, now)
        if (!isStarted && loading >= limit) continue
        if (!isStarted) loading += 1
        const mayOrder = state.report !== undefined && !state.report.busy && !isStarted
        steps.push({ kind: mayOrder ? 'order' : 'report', upstream, wanted })
      }
      return steps
    },
    reported (upstream, report, now) {
      for (const weights of report.weights) learnWeights(upstream, weights)
      const state = loads.get(upstream.entry.identifier)
      if (state === undefined) return
      const wanted = behind(upstream)
      if (wanted === undefined) {
        loads.delete(upstream.entry.identifier)
        return
      }
      state.report = report
      const orderAge = state.orderedAt === undefined ? 0 : now - state.orderedAt
      if (!report.busy && orderAge > REPORT_INTERVAL_MS) state.orderedAt = undefined
      state.lookAgainAt = report.busy || state.orderedAt !== undefined ? now + REPORT_INTERVAL_MS : now
    },
    ordered (upstream, outcome, now) {
      const state = loads.get(upstream.entry.identifier)
      if (state === undefined) return
      state.report = undefined
      if (outcome === OrderOutcome.done) learnWeights(upstream, state.wanted)
      const runs = outcome === OrderOutcome.accepted || outcome === OrderOutcome.unknown
      state.orderedAt = runs ? now : undefined
      state.lookAgainAt = now + (runs ? REPORT_INTERVAL_MS : RETRY_MS)
    },
    failed (upstream, now) {
      const state = loads.get(upstream.entry.identifier)
      if (state === undefined) return
      state.report = undefined
      state.lookAgainAt = now + RETRY_MS
    },
    acceptedOrders: (upstream) => loads.get(upstream.entry.identifier)?.report?.orders ?? 0,
    reset: () => { loads.clear() },
    progress (upstreams, now) {
      const engines = listEngines(upstreams)
      return {
        underOrder: nextUnderOrder(engines, now).map(({ entry }) => entry.identifier),
        weights: engines.flatMap((upstream) => newWeights(upstream, now))
      }
    },
    takeProgress ({ underOrder, weights }, upstreams, now) {
      told = { underOrder: new Set(underOrder), at: now }
      const known = new Map([...upstreams].map((upstream) => [upstream.entry.identifier, upstream]))
      for (const { upstream: identifier, startedAt, model, version } of weights) {
        const upstream = known.get(identifier)
        // A restarted engine may have older weights than the process that the holder speaks of.
        if (upstream?.entry.startedAt === startedAt) learnWeights(upstream, { model, version })
      }
    }
  }
}
