/**
 * Tracks the upstreams that may be used, combining their list entries with what traffic shows. An entry alone neither
 * keeps an unresponsive upstream in use nor excludes a responsive one.
 */
import type { MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import { loadKeyOf } from './engineLoad'
import { NO_USE, type EngineUse } from './engineRoom/engineUse'
import { createSpeedEstimate, type SpeedEstimate } from './engineSpeed/speedEstimate'
import { UNKNOWN_START, type ModelWeights, type UpstreamEntry, type UpstreamRun } from './types'

/**
 * Milliseconds for which an upstream is avoided after its first failure in a row; doubles with each further one. A
 * restart takes longer, a single reset connection less.
 */
const FIRST_PAUSE_MS = 250
/** Longest such pause, so that an upstream that recovers is found within the time in which the list would show it. */
const MAX_PAUSE_MS = 2000
/**
 * Milliseconds without a byte from an upstream with requests in flight after which it counts as silent; twice the
 * longest pause between events that callers accept.
 */
export const SILENCE_TIMEOUT_MS = 700
/**
 * Milliseconds of silence after which an engine gets a liveness check. An engine that only has a queue, or produces its
 * events slowly, responds within a few round trips, before its work would be restarted elsewhere.
 */
const LIVENESS_CHECK_AFTER_MS = 350
/** Milliseconds for which a liveness response is valid; an engine that stays silent is checked again before. */
const LIVENESS_VALIDITY_MS = 1500
/** Milliseconds for which an entry that disappeared in an outage is still used; live ones return within two seconds. */
const MISSING_GRACE_MS = 1500
/** Milliseconds for which an engine that rejects work while it should load weights is avoided; about one load. */
const LOADING_PAUSE_MS = 1000
/**
 * Longest back-off in milliseconds that an upstream can request. One that requests a longer time is considered faulty
 * and is tried again after this one.
 */
const MAX_BACK_OFF_MS = 300_000
/** Number of runs of leaving upstreams that are remembered; many more than leave at a time. */
const MAX_LEAVING_RUNS = 1000
/** Milliseconds for which a full upstream is avoided; a few calls of a plain service. */
const FULL_PAUSE_MS = 60
/**
 * Bounds in milliseconds of how long an upstream is suspected after another instance reported it as unreachable. Each
 * instance draws its own duration, so that the first ones to try again can notify the others before these do. The
 * longest is about the time after which the list shows that an upstream is gone.
 */
export const MIN_SUSPICION_MS = 500
const MAX_SUSPICION_MS = 3500
/** Milliseconds since the last byte from an upstream within which such a report is ignored. */
const RECENT_ACTIVITY_MS = 200
/**
 * Time constant in milliseconds with which an observed wait decays while nothing new is observed; the time in which a
 * queue of the deployed engines drains.
 */
const WAIT_DECAY_MS = 1500
/** Milliseconds for which the load of all instances is valid; a prefill takes less. */
const FLEET_LOAD_VALIDITY_MS = 300
/** Smoothing factor: weight of the newest observed wait. */
const WAIT_SMOOTHING = 0.3

interface ObservedWait {
  value: number
  at: MonotonicMilliseconds
}

export interface Upstream {
  entry: UpstreamEntry
  /** Number of this instance's requests that run there. */
  inFlight: number
  /** Number of these requests whose response is paused because the caller reads slowly; no byte is expected of them. */
  pausedReads: number
  /** Prompt tokens of this instance's requests that have not produced a first event yet. */
  pendingPrefillTokens: number
  /** Prompt tokens sent there by all instances that were pending prefill at the last update of the fleet load. */
  fleetPendingTokens: number
  fleetLoadUpdatedAt: MonotonicMilliseconds
  /** Prompt tokens that this instance has sent there since that update. */
  tokensSentSinceUpdate: number
  /** Prompt tokens of this instance's requests that wait for prefill and are not expected in the engine's cache. */
  pendingUncachedTokens: number
  /** Prompt and expected output tokens of this instance's requests that have not ended. */
  heldTokens: number
  /** What the requests of all instances used at the last update of the fleet load. */
  fleetUse: EngineUse
  /** What this instance has sent since that update. */
  useSinceUpdate: EngineUse
  /** Speed of the engine, as learned from its answers. */
  readonly speed: SpeedEstimate
  /** Identifies the upstream in the loads that instances exchange. */
  readonly loadKey: number
  /** Newest known weights by model, from the entry and from responses. */
  weights: Map<string, number>
  /** Smoothed milliseconds to the first byte of a response, by urgency: more urgent requests overtake the others. */
  waits: Map<number, ObservedWait>
  failures: number
  pausedUntil: MonotonicMilliseconds
  /** End of the back-off that the upstream requested. */
  backOffUntil: MonotonicMilliseconds
  /** When a permit to send it a request is available again, as last heard; not in use while it names no limit. */
  nextPermitAt: MonotonicMilliseconds
  /** Whether the upstream announced in a response that it is leaving, regardless of its entry. */
  announcedLeaving: boolean
  lastActivityAt: MonotonicMilliseconds
  /** End of the suspicion raised by another instance that could not reach the upstream. */
  suspectedUntil: MonotonicMilliseconds
  /** End of the validity of the last liveness response. */
  aliveUntil: MonotonicMilliseconds
  /** When the next liveness check of the engine is permitted. */
  nextLivenessCheckAt: MonotonicMilliseconds
  /** Start of the current period in which requests are in flight and a byte is expected. */
  awaitingBytesSince: MonotonicMilliseconds
  missingSince: MonotonicMilliseconds | undefined
}

export interface DirectoryChange {
  kind: 'found' | 'lost' | 'leaving' | 'restarted'
  upstream: Upstream
}

export interface UpstreamDirectory {
  /** Replaces the list by a complete reading. `afterOutage` retains missing entries for a grace period. */
  replace: (entries: readonly UpstreamEntry[], afterOutage: boolean, now: MonotonicMilliseconds) => DirectoryChange[]
  /** Applies one changed entry. */
  update: (entry: UpstreamEntry) => DirectoryChange[]
  /** Applies the removal of an entry, or an entry that cannot be parsed. */
  remove: (identifier: string, afterOutage: boolean, now: MonotonicMilliseconds) => DirectoryChange[]
  /**
   * Marks one run of an upstream as leaving, as the upstream announced itself. The mark outlives the loss and return of
   * its entry, but does not apply to a new run under the same identifier.
   * @returns false when this was already known
   */
  markLeaving: (identifier: string, startedAt: WallClockMilliseconds) => boolean
  /** Removes missing entries whose grace period has ended. */
  expire: (now: MonotonicMilliseconds) => DirectoryChange[]
  get: (identifier: string) => Upstream | undefined
  /** Whether a newer run of the upstream is listed, so that the given one no longer responds. */
  hasNewerRun: (entry: UpstreamRun) => boolean
  /** Returns the entries of a service that accept new requests, regardless of what their traffic shows. */
  listed: (service: string) => readonly Upstream[]
  /** Returns all entries of a service, including leaving ones. */
  ofService: (service: string) => readonly Upstream[]
  /** Returns the entries of a service that may get a request now. */
  usable: (service: string, now: MonotonicMilliseconds) => readonly Upstream[]
  all: () => Iterable<Upstream>
}

export function createUpstreamDirectory (): UpstreamDirectory {
  const upstreams = new Map<string, Upstream>()
  const services = new Map<string, Upstream[]>()
  /** Runs that announced that they are leaving, oldest first. */
  const leavingRuns = new Set<string>()

  function runKey (identifier: string, startedAt: WallClockMilliseconds): string {
    return `${identifier}/${startedAt}`
  }

  function rebuildIndex (): void {
    services.clear()
    for (const upstream of upstreams.values()) {
      if (isLeaving(upstream)) continue
      const list = services.get(upstream.entry.service)
      if (list === undefined) services.set(upstream.entry.service, [upstream])
      else list.push(upstream)
    }
  }

  function applyEntry (entry: UpstreamEntry): DirectoryChange[] {
    const present = upstreams.get(entry.identifier)
    if (present === undefined || isOtherRun(present.entry, entry)) {
      const upstream = createUpstream(entry)
      upstream.announcedLeaving = leavingRuns.has(runKey(entry.identifier, entry.startedAt))
      upstreams.set(entry.identifier, upstream)
      return [{ kind: present === undefined ? 'found' : 'restarted', upstream }]
    }
    const isNewlyLeaving = entry.leaving && !isLeaving(present)
    present.entry = { ...entry, startedAt: isStartKnown(entry) ? entry.startedAt : present.entry.startedAt }
    present.missingSince = undefined
    for (const weights of entry.weights) recordWeights(present, weights)
    return isNewlyLeaving ? [{ kind: 'leaving', upstream: present }] : []
  }

  function removeEntry (identifier: string, afterOutage: boolean, now: MonotonicMilliseconds): DirectoryChange[] {
    const upstream = upstreams.get(identifier)
    if (upstream === undefined) return []
    if (afterOutage && !isLeaving(upstream)) {
      upstream.missingSince ??= now
      return []
    }
    upstreams.delete(identifier)
    return [{ kind: 'lost', upstream }]
  }

  function reindexAfter (changes: DirectoryChange[]): DirectoryChange[] {
    rebuildIndex()
    return changes
  }

  return {
    replace (entries, afterOutage, now) {
      const names = new Set(entries.map(({ identifier }) => identifier))
      const removed = [...upstreams.keys()].filter((identifier) => !names.has(identifier))
      return reindexAfter([
        ...removed.flatMap((identifier) => removeEntry(identifier, afterOutage, now)), ...entries.flatMap(applyEntry)
      ])
    },
    update: (entry) => reindexAfter(applyEntry(entry)),
    remove: (identifier, afterOutage, now) => reindexAfter(removeEntry(identifier, afterOutage, now)),
    markLeaving (identifier, startedAt) {
      const run = runKey(identifier, startedAt)
      const upstream = upstreams.get(identifier)
      const isCurrentRun = upstream?.entry.startedAt === startedAt
      if (leavingRuns.has(run) || (isCurrentRun && isLeaving(upstream))) return false
      leavingRuns.add(run)
      const oldest = leavingRuns.values().next().value
      if (leavingRuns.size > MAX_LEAVING_RUNS && oldest !== undefined) leavingRuns.delete(oldest)
      if (isCurrentRun) {
        upstream.announcedLeaving = true
        rebuildIndex()
      }
      return true
    },
    expire (now) {
      const expired = [...upstreams.values()].filter(({ missingSince }) => (
        missingSince !== undefined && now - missingSince >= MISSING_GRACE_MS
      ))
      return expired.length === 0
        ? []
        : reindexAfter(expired.flatMap(({ entry }) => removeEntry(entry.identifier, false, now)))
    },
    get: (identifier) => upstreams.get(identifier),
    hasNewerRun (run) {
      const present = upstreams.get(run.identifier)?.entry
      return present !== undefined && isOtherRun(run, present) && present.startedAt > run.startedAt
    },
    listed: (service) => services.get(service) ?? [],
    ofService: (service) => [...upstreams.values()].filter(({ entry }) => entry.service === service),
    usable: (service, now) => (services.get(service) ?? []).filter((upstream) => isUsable(upstream, now)),
    all: () => upstreams.values()
  }
}

function isStartKnown ({ startedAt }: UpstreamRun): boolean {
  return startedAt !== UNKNOWN_START
}

/** Whether two entries under one identifier are certainly of different runs. */
function isOtherRun (one: UpstreamRun, other: UpstreamRun): boolean {
  return isStartKnown(one) && isStartKnown(other) && one.startedAt !== other.startedAt
}

function createUpstream (entry: UpstreamEntry): Upstream {
  return {
    entry,
    inFlight: 0,
    pausedReads: 0,
    pendingPrefillTokens: 0,
    fleetPendingTokens: 0,
    fleetLoadUpdatedAt: -Infinity,
    tokensSentSinceUpdate: 0,
    pendingUncachedTokens: 0,
    heldTokens: 0,
    fleetUse: NO_USE,
    useSinceUpdate: NO_USE,
    speed: createSpeedEstimate(),
    loadKey: loadKeyOf(entry.identifier),
    weights: new Map(entry.weights.map(({ model, version }) => [model, version])),
    waits: new Map(),
    failures: 0,
    pausedUntil: -Infinity,
    backOffUntil: -Infinity,
    nextPermitAt: -Infinity,
    announcedLeaving: false,
    lastActivityAt: -Infinity,
    suspectedUntil: -Infinity,
    aliveUntil: -Infinity,
    nextLivenessCheckAt: -Infinity,
    awaitingBytesSince: -Infinity,
    missingSince: undefined
  }
}

/** Records known weights; versions only grow within one run of an engine. */
export function recordWeights (upstream: Upstream, { model, version }: ModelWeights): void {
  if (version > (upstream.weights.get(model) ?? 0)) upstream.weights.set(model, version)
}

/** Returns the milliseconds without a byte while one is expected. */
function silenceDuration (
  { inFlight, pausedReads, lastActivityAt, awaitingBytesSince }: Upstream, now: MonotonicMilliseconds
): number {
  return inFlight > pausedReads ? now - Math.max(lastActivityAt, awaitingBytesSince) : 0
}

export function isSilent (upstream: Upstream, now: MonotonicMilliseconds): boolean {
  return silenceDuration(upstream, now) > SILENCE_TIMEOUT_MS && now >= upstream.aliveUntil
}

/** Whether no byte has arrived for a while although one is expected, and no liveness response explains it. */
export function isQuiet (upstream: Upstream, now: MonotonicMilliseconds): boolean {
  return silenceDuration(upstream, now) >= LIVENESS_CHECK_AFTER_MS && now >= upstream.aliveUntil
}

/** Returns the engines that are due for a liveness check and schedules the next check of each. */
export function takeDueLivenessChecks (upstreams: Iterable<Upstream>, now: MonotonicMilliseconds): Upstream[] {
  const targets = [...upstreams].filter((upstream) => (
    upstream.weights.size > 0 && silenceDuration(upstream, now) >= LIVENESS_CHECK_AFTER_MS &&
    now >= Math.max(upstream.nextLivenessCheckAt, upstream.backOffUntil)
  ))
  for (const upstream of targets) upstream.nextLivenessCheckAt = now + LIVENESS_VALIDITY_MS - LIVENESS_CHECK_AFTER_MS
  return targets
}

/** Records that the engine responded to a liveness check. */
export function recordLivenessResponse (upstream: Upstream, now: MonotonicMilliseconds): void {
  recordActivity(upstream, now)
  upstream.aliveUntil = now + LIVENESS_VALIDITY_MS
}

/** Whether the upstream is leaving, by its entry or its own announcement. */
export function isLeaving ({ entry, announcedLeaving }: Upstream): boolean {
  return entry.leaving || announcedLeaving
}

/** Returns when the upstream may be tried again after its failures and rejections. */
export function availableAt ({ pausedUntil, backOffUntil }: Upstream): MonotonicMilliseconds {
  return Math.max(pausedUntil, backOffUntil)
}

export function isUsable (upstream: Upstream, now: MonotonicMilliseconds): boolean {
  return now >= availableAt(upstream) && !isSilent(upstream, now)
}

export function recordAttemptStart (upstream: Upstream, pendingTokens: number, now: MonotonicMilliseconds): void {
  if (upstream.inFlight === 0) upstream.awaitingBytesSince = now
  upstream.inFlight += 1
  upstream.pendingPrefillTokens += pendingTokens
  upstream.tokensSentSinceUpdate += pendingTokens
}

/** Records the prompt tokens pending prefill that all instances together have sent there. */
export function recordFleetLoad (upstream: Upstream, pendingTokens: number, now: MonotonicMilliseconds): void {
  upstream.fleetPendingTokens = pendingTokens
  upstream.fleetLoadUpdatedAt = now
  upstream.tokensSentSinceUpdate = 0
}

export function isFleetLoadKnown ({ fleetLoadUpdatedAt }: Upstream, now: MonotonicMilliseconds): boolean {
  return now - fleetLoadUpdatedAt < FLEET_LOAD_VALIDITY_MS
}

/** Returns the prompt tokens pending prefill, of all instances if the fleet load is known. */
export function expectedPendingTokens (upstream: Upstream, now: MonotonicMilliseconds): number {
  const { pendingPrefillTokens, fleetPendingTokens, tokensSentSinceUpdate } = upstream
  return isFleetLoadKnown(upstream, now)
    ? Math.max(pendingPrefillTokens, fleetPendingTokens + tokensSentSinceUpdate)
    : pendingPrefillTokens
}

export function recordAttemptEnd (upstream: Upstream): void {
  upstream.inFlight -= 1
}

/** Records that reading the response is paused because the caller does not keep up. */
export function recordReadPaused (upstream: Upstream): void {
  upstream.pausedReads += 1
}

/** Records that reading the response was resumed or the response has ended. */
export function recordReadResumed (upstream: Upstream, now: MonotonicMilliseconds): void {
  upstream.pausedReads -= 1
  upstream.awaitingBytesSince = now
}

/** Records a byte of a response, which shows that the upstream is alive. */
export function recordActivity (upstream: Upstream, now: MonotonicMilliseconds): void {
  upstream.lastActivityAt = now
  upstream.failures = 0
  upstream.suspectedUntil = -Infinity
}

/** Records that the first byte of a response arrived after `wait` milliseconds. */
export function observeWait (upstream: Upstream, urgency: number, wait: number, now: MonotonicMilliseconds): void {
  const previous = currentWait(upstream, urgency, now)
  upstream.waits.set(urgency, { value: previous + (wait - previous) * WAIT_SMOOTHING, at: now })
}

/** Records that a request has waited `wait` milliseconds without a first byte: the wait is at least that long. */
export function observeMinimumWait (
  upstream: Upstream, urgency: number, wait: number, now: MonotonicMilliseconds
): void {
  if (wait > currentWait(upstream, urgency, now)) observeWait(upstream, urgency, wait, now)
}

/** Returns the expected milliseconds to the first byte; an observation decays, so that the upstream is tried again. */
export function currentWait (upstream: Upstream, urgency: number, now: MonotonicMilliseconds): number {
  const observed = upstream.waits.get(urgency)
  return observed === undefined ? 0 : observed.value * Math.exp(-Math.max(0, now - observed.at) / WAIT_DECAY_MS)
}

/** Pauses an upstream whose connection could not be opened, broke or stayed silent. */
export function pauseAfterFailure (upstream: Upstream, now: MonotonicMilliseconds): void {
  // Requests that fail at the same moment are evidence of a single failure.
  if (now < upstream.pausedUntil) return
  const pause = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** upstream.failures)
  upstream.failures += 1
  upstream.pausedUntil = now + pause
}

/**
 * Suspects an upstream that another instance of the data centre could not reach a moment ago. This instance's own
 * traffic takes precedence over the report.
 * @param draw uniform in [0, 1)
 */
export function suspectUpstream (upstream: Upstream, draw: number, now: MonotonicMilliseconds): void {
  if (now - upstream.lastActivityAt <= RECENT_ACTIVITY_MS) return
  upstream.suspectedUntil = now + MIN_SUSPICION_MS + draw * (MAX_SUSPICION_MS - MIN_SUSPICION_MS)
}

/** A response that states that the upstream has not run the request. */
export interface UpstreamRejection {
  /** Model of the request. */
  model: string | undefined
  /** Whether the request did not match the upstream or its weights. */
  misdirected: boolean
  /** Identifier of the upstream that responded. */
  answeredBy: string | undefined
  /** Returns the version of a model's weights that all engines should have. */
  targetVersion: (model: string) => number | undefined
}

/**
 * Pauses an upstream that rejected a request, unless the rejection shows that it already has the newest weights.
 * @returns whether its known weights are behind
 */
export function recordRejection (
  upstream: Upstream, { model, misdirected, answeredBy, targetVersion }: UpstreamRejection, now: MonotonicMilliseconds
): boolean {
  const target = model === undefined ? undefined : targetVersion(model)
  const isBehind = target !== undefined && (upstream.weights.get(model!) ?? 0) < target
  const isOther = misdirected && answeredBy !== undefined && answeredBy !== upstream.entry.identifier
  if (misdirected && !isOther && isBehind) recordWeights(upstream, { model: model!, version: target })
  else {
    const pause = isBehind || isOther ? LOADING_PAUSE_MS : FULL_PAUSE_MS
    upstream.pausedUntil = Math.max(upstream.pausedUntil, now + pause)
  }
  return isBehind
}

/** Backs off for as long as the upstream requested. A shorter request does not end a longer back-off. */
export function backOffUpstream (upstream: Upstream, milliseconds: number, now: MonotonicMilliseconds): void {
  upstream.backOffUntil = Math.max(upstream.backOffUntil, now + Math.min(MAX_BACK_OFF_MS, milliseconds))
}
