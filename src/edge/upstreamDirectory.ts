/**
 * The upstreams that may be used: what they say of themselves in the list, weighed against what traffic shows. An entry
 * alone neither saves an upstream that does not answer nor condemns one that does.
 */
import type { MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import { loadKeyOf } from './engineLoad'
import type { ModelWeights, UpstreamEntry } from './types'

/**
 * Milliseconds for which an upstream is left alone after its first failure in a row; doubles with each further one. A
 * restart takes longer, a single reset connection less.
 */
const FIRST_PAUSE_MS = 250
/** Longest such pause, so that one that comes back is found within the time in which the list would show it. */
const LONGEST_PAUSE_MS = 2000
/**
 * Milliseconds without a byte from an upstream with requests in flight after which it counts as silent; twice the longest
 * pause between events that callers accept.
 */
export const SILENCE_MS = 700
/**
 * Milliseconds of that silence after which an engine is asked for a sign of life: one that only has a queue, or makes its
 * events slowly, answers in a few round trips, before its work would be started again elsewhere.
 */
const ASK_AFTER_MS = 350
/** Milliseconds for which a sign of life counts; an engine that stays silent is asked again before. */
const SIGN_OF_LIFE_MS = 1500
/** Milliseconds for which an entry that vanished during an outage is still used; live ones are back within two seconds. */
const VANISHED_GRACE_MS = 1500
/** Milliseconds for which an engine that refuses work while it should load weights is left alone; about one load. */
const LOADING_PAUSE_MS = 1000
/**
 * Longest milliseconds for which an upstream gets nothing because it said so; one that names a longer time is taken for
 * broken and tried again after it.
 */
const LONGEST_REST_MS = 300_000
/** Runs of upstreams that said that they leave which are remembered; many more than leave at a time. */
const LEAVING_RUNS = 1000
/** Milliseconds for which an upstream that is full is left alone; a few calls of a plain service. */
const FULL_PAUSE_MS = 60
/**
 * Bounds of the milliseconds for which another instance's word that an upstream cannot be reached counts. Each instance
 * draws its own time, so that the first ones to try again can tell the others before these do; the longest is about that
 * after which the list shows that an upstream is gone.
 */
export const SHORTEST_DOUBT_MS = 500
const LONGEST_DOUBT_MS = 3500
/** Milliseconds since the last byte from an upstream within which such a word does not count against it. */
const RECENTLY_HEARD_MS = 200
/**
 * Time constant in milliseconds with which an observed wait loses its weight when nothing new is seen; the time in which
 * a queue of the deployments' engines drains.
 */
const WAIT_DECAY_MS = 1500
/** Milliseconds for which the load of all instances counts; a prompt is read in less. */
const FLEET_LOAD_MS = 300
/** Weight of the newest observed wait. */
const WAIT_GAIN = 0.3

interface ObservedWait {
  value: number
  at: MonotonicMilliseconds
}

export interface Upstream {
  entry: UpstreamEntry
  /** Requests of this instance that run there. */
  inFlight: number
  /** Those of them whose answers wait for a caller that reads slowly; no byte is expected of them. */
  held: number
  /** Prompt tokens of requests of this instance without a first event yet. */
  unreadTokens: number
  /** Prompt tokens that all instances together have sent there and that were not read at `fleetLoadAt`. */
  fleetUnread: number
  fleetLoadAt: MonotonicMilliseconds
  /** Prompt tokens that this instance has sent there since. */
  sentSince: number
  /** Identifies the upstream in loads that instances tell. */
  readonly loadKey: number
  /** Newest weights known by model, from the entry and from answers. */
  weights: Map<string, number>
  /** Smoothed milliseconds to the first byte of an answer, by urgency: more urgent requests pass the others. */
  waits: Map<number, ObservedWait>
  failures: number
  pausedUntil: MonotonicMilliseconds
  /** Until when it wants no requests, by its own word. */
  restsUntil: MonotonicMilliseconds
  /** It said in an answer that it leaves, whatever its entry says. */
  saidLeaving: boolean
  lastHeard: MonotonicMilliseconds
  /** Until when another instance's word counts that the upstream cannot be reached. */
  doubtedUntil: MonotonicMilliseconds
  /** Until when its last sign of life counts. */
  livesUntil: MonotonicMilliseconds
  /** When the engine may be asked for a sign of life again. */
  askAgainAt: MonotonicMilliseconds
  /** Since when requests are in flight without a byte from the upstream. */
  quietSince: MonotonicMilliseconds
  vanishedAt: MonotonicMilliseconds | undefined
}

export interface DirectoryChange {
  kind: 'found' | 'lost' | 'leaving' | 'restarted'
  upstream: Upstream
}

export interface UpstreamDirectory {
  /** Replaces the list by a full reading. `afterOutage` keeps vanished entries for a while. */
  replace: (entries: readonly UpstreamEntry[], afterOutage: boolean, now: MonotonicMilliseconds) => DirectoryChange[]
  /** Takes in one changed entry. */
  update: (entry: UpstreamEntry) => DirectoryChange[]
  /** Takes in a removed entry, or one that cannot be read. */
  remove: (identifier: string, afterOutage: boolean, now: MonotonicMilliseconds) => DirectoryChange[]
  /**
   * Takes in that one run of an upstream leaves, by its own word. It stays so when its entry is lost and comes again; a
   * new run under the same identifier does not. False when that is known.
   */
  markLeaving: (identifier: string, startedAt: WallClockMilliseconds) => boolean
  /** Drops vanished entries whose grace has passed. */
  expire: (now: MonotonicMilliseconds) => DirectoryChange[]
  get: (identifier: string) => Upstream | undefined
  /** Entries of a service that take new requests, whatever their traffic shows. */
  listed: (service: string) => readonly Upstream[]
  /** All entries of a service, leaving ones included. */
  ofService: (service: string) => readonly Upstream[]
  /** Entries of a service that may get a request now. */
  usable: (service: string, now: MonotonicMilliseconds) => readonly Upstream[]
  all: () => Iterable<Upstream>
}

export function createUpstreamDirectory (): UpstreamDirectory {
  const upstreams = new Map<string, Upstream>()
  const services = new Map<string, Upstream[]>()
  /** Runs that said that they leave, the oldest word first. */
  const leavingRuns = new Set<string>()

  function runOf (identifier: string, startedAt: WallClockMilliseconds): string {
    return `${identifier}/${startedAt}`
  }

  function index (): void {
    services.clear()
    for (const upstream of upstreams.values()) {
      if (isLeaving(upstream)) continue
      const list = services.get(upstream.entry.service)
      if (list === undefined) services.set(upstream.entry.service, [upstream])
      else list.push(upstream)
    }
  }

  function take (entry: UpstreamEntry): DirectoryChange[] {
    const present = upstreams.get(entry.identifier)
    if (present === undefined || present.entry.startedAt !== entry.startedAt) {
      const upstream = createUpstream(entry)
      upstream.saidLeaving = leavingRuns.has(runOf(entry.identifier, entry.startedAt))
      upstreams.set(entry.identifier, upstream)
      return [{ kind: present === undefined ? 'found' : 'restarted', upstream }]
    }
    const leaves = entry.leaving && !isLeaving(present)
    present.entry = entry
    present.vanishedAt = undefined
    for (const weights of entry.weights) learnWeights(present, weights)
    return leaves ? [{ kind: 'leaving', upstream: present }] : []
  }

  function drop (identifier: string, afterOutage: boolean, now: MonotonicMilliseconds): DirectoryChange[] {
    const upstream = upstreams.get(identifier)
    if (upstream === undefined) return []
    if (afterOutage && !isLeaving(upstream)) {
      upstream.vanishedAt ??= now
      return []
    }
    upstreams.delete(identifier)
    return [{ kind: 'lost', upstream }]
  }

  function finish (changes: DirectoryChange[]): DirectoryChange[] {
    index()
    return changes
  }

  return {
    replace (entries, afterOutage, now) {
      const names = new Set(entries.map(({ identifier }) => identifier))
      const gone = [...upstreams.keys()].filter((identifier) => !names.has(identifier))
      return finish([...gone.flatMap((identifier) => drop(identifier, afterOutage, now)), ...entries.flatMap(take)])
    },
    update: (entry) => finish(take(entry)),
    remove: (identifier, afterOutage, now) => finish(drop(identifier, afterOutage, now)),
    markLeaving (identifier, startedAt) {
      const run = runOf(identifier, startedAt)
      const upstream = upstreams.get(identifier)
      const isPresent = upstream?.entry.startedAt === startedAt
      if (leavingRuns.has(run) || (isPresent && isLeaving(upstream))) return false
      leavingRuns.add(run)
      const oldest = leavingRuns.values().next().value
      if (leavingRuns.size > LEAVING_RUNS && oldest !== undefined) leavingRuns.delete(oldest)
      if (isPresent) {
        upstream.saidLeaving = true
        index()
      }
      return true
    },
    expire (now) {
      const over = [...upstreams.values()].filter(({ vanishedAt }) => (
        vanishedAt !== undefined && now - vanishedAt >= VANISHED_GRACE_MS
      ))
      return over.length === 0 ? [] : finish(over.flatMap(({ entry }) => drop(entry.identifier, false, now)))
    },
    get: (identifier) => upstreams.get(identifier),
    listed: (service) => services.get(service) ?? [],
    ofService: (service) => [...upstreams.values()].filter(({ entry }) => entry.service === service),
    usable: (service, now) => (services.get(service) ?? []).filter((upstream) => isUsable(upstream, now)),
    all: () => upstreams.values()
  }
}

function createUpstream (entry: UpstreamEntry): Upstream {
  return {
    entry,
    inFlight: 0,
    held: 0,
    unreadTokens: 0,
    fleetUnread: 0,
    fleetLoadAt: -Infinity,
    sentSince: 0,
    loadKey: loadKeyOf(entry.identifier),
    weights: new Map(entry.weights.map(({ model, version }) => [model, version])),
    waits: new Map(),
    failures: 0,
    pausedUntil: -Infinity,
    restsUntil: -Infinity,
    saidLeaving: false,
    lastHeard: -Infinity,
    doubtedUntil: -Infinity,
    livesUntil: -Infinity,
    askAgainAt: -Infinity,
    quietSince: -Infinity,
    vanishedAt: undefined
  }
}

/** Versions only grow within one run of an engine. */
export function learnWeights (upstream: Upstream, { model, version }: ModelWeights): void {
  if (version > (upstream.weights.get(model) ?? 0)) upstream.weights.set(model, version)
}

/** Milliseconds without a byte while some is expected. */
function silence ({ inFlight, held, lastHeard, quietSince }: Upstream, now: MonotonicMilliseconds): number {
  return inFlight > held ? now - Math.max(lastHeard, quietSince) : 0
}

export function isSilent (upstream: Upstream, now: MonotonicMilliseconds): boolean {
  return silence(upstream, now) > SILENCE_MS && now >= upstream.livesUntil
}

/** Engines that should be asked for a sign of life; each is returned once in a while only. */
export function takeSilentEngines (upstreams: Iterable<Upstream>, now: MonotonicMilliseconds): Upstream[] {
  const silent = [...upstreams].filter((upstream) => (
    upstream.weights.size > 0 && silence(upstream, now) >= ASK_AFTER_MS &&
    now >= Math.max(upstream.askAgainAt, upstream.restsUntil)
  ))
  for (const upstream of silent) upstream.askAgainAt = now + SIGN_OF_LIFE_MS - ASK_AFTER_MS
  return silent
}

/** The engine answered when it was asked for a sign of life. */
export function gaveSignOfLife (upstream: Upstream, now: MonotonicMilliseconds): void {
  heardFrom(upstream, now)
  upstream.livesUntil = now + SIGN_OF_LIFE_MS
}

/** By its entry or by its own word. */
export function isLeaving ({ entry, saidLeaving }: Upstream): boolean {
  return entry.leaving || saidLeaving
}

/** When the upstream may be tried again after its failures and refusals. */
export function availableAt ({ pausedUntil, restsUntil }: Upstream): MonotonicMilliseconds {
  return Math.max(pausedUntil, restsUntil)
}

export function isUsable (upstream: Upstream, now: MonotonicMilliseconds): boolean {
  return now >= availableAt(upstream) && !isSilent(upstream, now)
}

export function attemptBegan (upstream: Upstream, unreadTokens: number, now: MonotonicMilliseconds): void {
  if (upstream.inFlight === 0) upstream.quietSince = now
  upstream.inFlight += 1
  upstream.unreadTokens += unreadTokens
  upstream.sentSince += unreadTokens
}

/** All instances together have sent so many prompt tokens there that are not read yet. */
export function noteFleetLoad (upstream: Upstream, unreadTokens: number, now: MonotonicMilliseconds): void {
  upstream.fleetUnread = unreadTokens
  upstream.fleetLoadAt = now
  upstream.sentSince = 0
}

export function isFleetLoadKnown ({ fleetLoadAt }: Upstream, now: MonotonicMilliseconds): boolean {
  return now - fleetLoadAt < FLEET_LOAD_MS
}

/** Prompt tokens that are not read yet, of all instances if their loads are known. */
export function expectedUnread (upstream: Upstream, now: MonotonicMilliseconds): number {
  const { unreadTokens, fleetUnread, sentSince } = upstream
  return isFleetLoadKnown(upstream, now) ? Math.max(unreadTokens, fleetUnread + sentSince) : unreadTokens
}

export function attemptEnded (upstream: Upstream): void {
  upstream.inFlight -= 1
}

/** The caller does not keep up with the answer, so nothing more is read of it. */
export function attemptHeld (upstream: Upstream): void {
  upstream.held += 1
}

/** The answer is read again, or ended. */
export function attemptReleased (upstream: Upstream, now: MonotonicMilliseconds): void {
  upstream.held -= 1
  upstream.quietSince = now
}

/** Any byte of an answer shows that the upstream lives. */
export function heardFrom (upstream: Upstream, now: MonotonicMilliseconds): void {
  upstream.lastHeard = now
  upstream.failures = 0
  upstream.doubtedUntil = -Infinity
}

/** The first byte of an answer came after `wait` milliseconds. */
export function observeWait (upstream: Upstream, urgency: number, wait: number, now: MonotonicMilliseconds): void {
  const present = currentWait(upstream, urgency, now)
  upstream.waits.set(urgency, { value: present + (wait - present) * WAIT_GAIN, at: now })
}

/** A request has waited so many milliseconds for its first byte, which has not come: the wait is at least that long. */
export function observeLeastWait (upstream: Upstream, urgency: number, wait: number, now: MonotonicMilliseconds): void {
  if (wait > currentWait(upstream, urgency, now)) observeWait(upstream, urgency, wait, now)
}

/** Expected milliseconds to the first byte; an old observation fades, so that the upstream is tried again. */
export function currentWait (upstream: Upstream, urgency: number, now: MonotonicMilliseconds): number {
  const observed = upstream.waits.get(urgency)
  return observed === undefined ? 0 : observed.value * Math.exp(-Math.max(0, now - observed.at) / WAIT_DECAY_MS)
}

/** A connection could not be opened, broke or stayed silent. */
export function pauseAfterFailure (upstream: Upstream, now: MonotonicMilliseconds): void {
  // Requests that fail at the same moment tell no more than one.
  if (now < upstream.pausedUntil) return
  const pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** upstream.failures)
  upstream.failures += 1
  upstream.pausedUntil = now + pause
}

/**
 * Another instance of the data centre could not reach the upstream a moment ago; the own traffic goes before its word.
 * @param draw uniform in [0, 1)
 */
export function doubtUpstream (upstream: Upstream, draw: number, now: MonotonicMilliseconds): void {
  if (now - upstream.lastHeard <= RECENTLY_HEARD_MS) return
  upstream.doubtedUntil = now + SHORTEST_DOUBT_MS + draw * (LONGEST_DOUBT_MS - SHORTEST_DOUBT_MS)
}

/** The upstream refused a request without running it. */
export function pauseAfterRefusal (upstream: Upstream, loading: boolean, now: MonotonicMilliseconds): void {
  upstream.pausedUntil = Math.max(upstream.pausedUntil, now + (loading ? LOADING_PAUSE_MS : FULL_PAUSE_MS))
}

/** The upstream wants nothing from this instance for so many milliseconds. A shorter word does not end a longer one. */
export function restUpstream (upstream: Upstream, milliseconds: number, now: MonotonicMilliseconds): void {
  upstream.restsUntil = Math.max(upstream.restsUntil, now + Math.min(LONGEST_REST_MS, milliseconds))
}
