/** Rollout of new weights: decides which engines load them next. */
import type { MonotonicMilliseconds } from '../types'
import { isLeaving, isUsable, recordWeights, type Upstream } from './upstreamDirectory'
import { CommandOutcome } from './types'
import { elapsed } from './freshness'
import { fixedSchedule, type LoadSchedule } from './weightsLoading/loadSchedule'
import type { EngineReport, Instant, ModelWeights } from './types'

/**
 * Time in milliseconds after which an accepted command counts as failed if the engine does not show the new weights.
 */
const LOAD_TIMEOUT_MS = 5000
/** Interval in milliseconds between reports requested from a loading engine. */
const REPORT_INTERVAL_MS = 200
/** Maximum number of target versions kept per model; engines with older weights have long exceeded their time limit. */
const MAX_TARGETS_PER_MODEL = 16
/** Maximum number of entries for engine processes and their newest weights; larger than the largest deployments. */
const MAX_FIRST_SEEN_ENTRIES = 2000
/**
 * Time in milliseconds for which an update of the lease holder is valid. It sends several in that time during loads.
 */
const PROGRESS_VALIDITY_MS = 1000
/** Delay in milliseconds before an engine is retried after a failed or conflicting command. */
const RETRY_MS = 600

export interface WeightsStep {
  kind: 'report' | 'order'
  upstream: Upstream
  target: ModelWeights
}

interface LoadState {
  startedAt: number
  target: ModelWeights
  /** When the command was sent that the engine may be executing; undefined if there is none. */
  commandSentAt: MonotonicMilliseconds | undefined
  nextCheckAt: MonotonicMilliseconds
  report: EngineReport | undefined
}

export interface WeightsRollout {
  /**
   * Sets the weights that the operator requests; older versions are ignored and return false. `after` is an instant
   * before the request was written, undefined if none is known.
   */
  setTarget: (weights: ModelWeights, after: Instant | undefined) => boolean
  target: (model: string) => number | undefined
  /**
   * Returns an upper bound in milliseconds for how long a newer version than `version` has been requested; 0 if it is
   * the newest.
   */
  supersededFor: (model: string, version: number, now: Instant) => number
  /**
   * Returns the engines that load new weights now or next: as last published by the lease holder, or else as far as
   * this instance can derive it.
   */
  loadingEngines: (upstreams: Iterable<Upstream>, now: MonotonicMilliseconds) => ReadonlySet<Upstream>
  /** Whether any engine still has older weights than requested. */
  isPending: (upstreams: Iterable<Upstream>) => boolean
  /**
   * Returns the next steps. The caller performs them and reports the result with `recordReport`, `recordCommand` or
   * `recordFailure`.
   */
  nextSteps: (upstreams: Iterable<Upstream>, now: MonotonicMilliseconds) => WeightsStep[]
  recordReport: (upstream: Upstream, report: EngineReport, now: MonotonicMilliseconds) => void
  recordCommand: (upstream: Upstream, outcome: CommandOutcome, now: MonotonicMilliseconds) => void
  recordFailure: (upstream: Upstream, now: MonotonicMilliseconds) => void
  /** Returns the number of commands that the engine had accepted as of its last report. */
  acceptedCommands: (upstream: Upstream) => number
  /** Discards the state of this instance's commands when it loses the lease. */
  reset: () => void
  /** Returns the progress that the lease holder publishes to the other instances. */
  progress: (upstreams: Iterable<Upstream>, now: MonotonicMilliseconds) => LoadProgress
  /** Applies the progress that the lease holder published. */
  applyProgress: (progress: LoadProgress, upstreams: Iterable<Upstream>, now: MonotonicMilliseconds) => void
  /** Whether the steps depend on the loads of the fleet. */
  usesLoads: boolean
}

/** Progress of the engines during a weights rollout. */
export interface LoadProgress {
  /** Identifiers of the engines that load new weights now or next. */
  underOrder: readonly string[]
  /** Engines whose weights were first seen recently, with the start time of the process that has them. */
  weights: ReadonlyArray<ModelWeights & { upstream: string, startedAt: number }>
}

/** Returns undefined if the content is not valid progress. */
export function parseProgress ({ underOrder, weights }: Readonly<Record<string, unknown>>): LoadProgress | undefined {
  const isText = (value: unknown): value is string => typeof value === 'string'
  if (!Array.isArray(underOrder) || !underOrder.every(isText) || !Array.isArray(weights)) return undefined
  const isSound = (weights as Array<Partial<LoadProgress['weights'][number]>>).every((entry) => (
    isText(entry?.upstream) && isText(entry.model) && Number.isFinite(entry.version) && Number.isFinite(entry.startedAt)
  ))
  return isSound ? { underOrder, weights: weights as LoadProgress['weights'] } : undefined
}

/** Compares versions; engines without a target have an infinite one. */
function compare (one: number, other: number): number {
  return one === other ? 0 : one - other
}

function listEngines (upstreams: Iterable<Upstream>): Upstream[] {
  return [...upstreams].filter((upstream) => upstream.weights.size > 0 && !isLeaving(upstream))
}

/** @param schedule how many engines load at a time, and in which order. @default a fixed fraction */
export function createWeightsRollout (schedule: LoadSchedule = fixedSchedule): WeightsRollout {
  const targets = new Map<string, number>()
  /** Requested versions by model, oldest first, each with an instant before it was requested. */
  const announcements = new Map<string, Array<{ version: number, requestedAfter: Instant | undefined }>>()
  const loads = new Map<string, LoadState>()
  /** When the weights of each engine process were first seen. */
  const firstSeen = new Map<string, { version: number, at: MonotonicMilliseconds }>()
  let receivedProgress: { underOrder: ReadonlySet<string>, at: MonotonicMilliseconds } | undefined

  /** Returns the weights that the engine should load; undefined if it has the newest ones. */
  function targetFor (upstream: Upstream): ModelWeights | undefined {
    if (isLeaving(upstream)) return undefined
    for (const [model, version] of upstream.weights) {
      const target = targets.get(model)
      if (target !== undefined && version < target) return { model, version: target }
    }
    return undefined
  }

  /**
   * Sorts engines by version, oldest first: an engine that was just updated to a version superseded since can wait. Ties
   * are broken by the schedule, then by identifier, so that all instances derive the same order.
   */
  function sortByVersion (engines: readonly Upstream[], now: MonotonicMilliseconds): Upstream[] {
    return engines
      .map((engine) => ({
        engine, version: engine.weights.get(targetFor(engine)?.model ?? '') ?? Infinity, rank: schedule.rank(engine, now)
      }))
      .sort((one, other) => (
        compare(one.version, other.version) || one.rank - other.rank ||
        (one.engine.entry.identifier < other.engine.entry.identifier ? -1 : 1)
      ))
      .map(({ engine }) => engine)
  }

  function loadStateOf (upstream: Upstream, target: ModelWeights): LoadState {
    const { identifier, startedAt } = upstream.entry
    const present = loads.get(identifier)
    if (present?.startedAt === startedAt && present.target.version === target.version) return present
    // An engine that is still loading superseded weights continues to count as loading.
    const commandSentAt = present?.startedAt === startedAt ? present.commandSentAt : undefined
    const state: LoadState = { startedAt, target, commandSentAt, nextCheckAt: -Infinity, report: undefined }
    loads.set(identifier, state)
    return state
  }

  /** Returns the weights of the engine that were first seen recently. */
  function recentlySeenWeights ({ entry, weights }: Upstream, now: MonotonicMilliseconds): LoadProgress['weights'] {
    const { identifier, startedAt } = entry
    return [...weights].flatMap(([model, version]) => {
      const subject = `${identifier}/${startedAt}/${model}`
      const present = firstSeen.get(subject)
      if (present?.version === version) {
        return now - present.at < PROGRESS_VALIDITY_MS ? [{ upstream: identifier, startedAt, model, version }] : []
      }
      firstSeen.set(subject, { version, at: now })
      const oldest = firstSeen.keys().next().value
      if (firstSeen.size > MAX_FIRST_SEEN_ENTRIES && oldest !== undefined) firstSeen.delete(oldest)
      return [{ upstream: identifier, startedAt, model, version }]
    })
  }

  /** Returns the engines with older weights that load now or next. */
  function nextToLoad (engines: readonly Upstream[], now: MonotonicMilliseconds): Upstream[] {
    const waiting = engines.filter((upstream) => targetFor(upstream) !== undefined && isUsable(upstream, now))
    return sortByVersion(waiting, now).slice(0, schedule.limit(engines, now))
  }

  function isLoading (state: LoadState, now: MonotonicMilliseconds): boolean {
    return state.commandSentAt !== undefined && now - state.commandSentAt < LOAD_TIMEOUT_MS
  }

  return {
    setTarget ({ model, version }, after) {
      if (version <= (targets.get(model) ?? 0)) return false
      targets.set(model, version)
      announcements.set(model, [
        ...(announcements.get(model) ?? []), { version, requestedAfter: after }
      ].slice(-MAX_TARGETS_PER_MODEL))
      return true
    },
    supersededFor (model, version, now) {
      const first = announcements.get(model)?.find((entry) => entry.version > version)
      if (first === undefined) return 0
      return first.requestedAfter === undefined ? Infinity : elapsed(first.requestedAfter, now)
    },
    loadingEngines (upstreams, now) {
      const engines = listEngines(upstreams)
      if (receivedProgress !== undefined && now - receivedProgress.at < PROGRESS_VALIDITY_MS) {
        const { underOrder } = receivedProgress
        const isListed = ({ entry }: Upstream): boolean => underOrder.has(entry.identifier)
        return new Set(engines.filter((upstream) => isListed(upstream) && targetFor(upstream) !== undefined))
      }
      return new Set(nextToLoad(engines, now))
    },
    target: (model) => targets.get(model),
    usesLoads: schedule.usesLoads,
    isPending (upstreams) {
      for (const upstream of upstreams) if (targetFor(upstream) !== undefined) return true
      return false
    },
    nextSteps (upstreams, now) {
      const engines = listEngines(upstreams)
      const waiting = sortByVersion(engines, now).flatMap((upstream) => {
        const target = targetFor(upstream)
        return target === undefined ? [] : [{ upstream, target, state: loadStateOf(upstream, target) }]
      })
      const limit = schedule.limit(engines, now)
      let loading = waiting.filter(({ state }) => isLoading(state, now)).length
      const steps: WeightsStep[] = []
      for (const { upstream, target, state } of waiting) {
        if (now < Math.max(state.nextCheckAt, upstream.backOffUntil)) continue
        const hasStarted = isLoading(state, now)
        if (!hasStarted && loading >= limit) continue
        if (!hasStarted) loading += 1
        const canSendCommand = state.report !== undefined && !state.report.busy && !hasStarted
        steps.push({ kind: canSendCommand ? 'order' : 'report', upstream, target })
      }
      return steps
    },
    recordReport (upstream, report, now) {
      for (const weights of report.weights) recordWeights(upstream, weights)
      const state = loads.get(upstream.entry.identifier)
      if (state === undefined) return
      const target = targetFor(upstream)
      if (target === undefined) {
        loads.delete(upstream.entry.identifier)
        return
      }
      state.report = report
      const commandAge = state.commandSentAt === undefined ? 0 : now - state.commandSentAt
      if (!report.busy && commandAge > REPORT_INTERVAL_MS) state.commandSentAt = undefined
      state.nextCheckAt = report.busy || state.commandSentAt !== undefined ? now + REPORT_INTERVAL_MS : now
    },
    recordCommand (upstream, outcome, now) {
      const state = loads.get(upstream.entry.identifier)
      if (state === undefined) return
      state.report = undefined
      if (outcome === CommandOutcome.done) recordWeights(upstream, state.target)
      const mayBeLoading = outcome === CommandOutcome.accepted || outcome === CommandOutcome.unknown
      state.commandSentAt = mayBeLoading ? now : undefined
      state.nextCheckAt = now + (mayBeLoading ? REPORT_INTERVAL_MS : RETRY_MS)
    },
    recordFailure (upstream, now) {
      const state = loads.get(upstream.entry.identifier)
      if (state === undefined) return
      state.report = undefined
      state.nextCheckAt = now + RETRY_MS
    },
    acceptedCommands: (upstream) => loads.get(upstream.entry.identifier)?.report?.acceptedCommands ?? 0,
    reset: () => { loads.clear() },
    progress (upstreams, now) {
      const engines = listEngines(upstreams)
      return {
        underOrder: nextToLoad(engines, now).map(({ entry }) => entry.identifier),
        weights: engines.flatMap((upstream) => recentlySeenWeights(upstream, now))
      }
    },
    applyProgress ({ underOrder, weights }, upstreams, now) {
      receivedProgress = { underOrder: new Set(underOrder), at: now }
      const known = new Map([...upstreams].map((upstream) => [upstream.entry.identifier, upstream]))
      for (const { upstream: identifier, startedAt, model, version } of weights) {
        const upstream = known.get(identifier)
        // After a restart the engine may have older weights than the process in the holder's progress.
        if (upstream?.entry.startedAt === startedAt) recordWeights(upstream, { model, version })
      }
    }
  }
}
