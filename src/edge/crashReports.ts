/**
 * Finds out which lost connections were crashes of upstreams, exchanges them with the other instances, and applies the
 * verdicts of the attribution to requests.
 *
 * Each instance sees only its own requests in flight at a crash, so all instances add up the reports of all. A trait that
 * some instance knows to be sound is cleared by a message that only goes out while the trait is charged.
 */
import { setBounded } from '../boundedMap'
import { ListenerState, probeListener } from '../http/listeningProbe'
import { rankByRendezvous } from '../rendezvous'
import type { Endpoint, MonotonicMilliseconds } from '../types'
import {
  TraitVerdictKind, type ClearedTraits, type Conviction, type CrashAttribution, type TraitVerdict, type RefusedVerdict,
  type TraitDepths
} from '../upstream/crashAttribution'
import { EdgeEvent, type EdgeLog } from './events'
import type { PeerBroadcast } from './peerBroadcast'
import type { PeerValue } from './peerLinks'
import { runKey } from './requestLimits'
import type { RequestTraits } from './requestTraits'
import type { UpstreamEntry, UpstreamRun } from './types'
import { isLeaving, type Upstream, type UpstreamDirectory } from './upstreamDirectory'

/** Milliseconds between announcements of the convictions, for instances that have started or were unreachable. */
const ANNOUNCE_INTERVAL_MS = 1000
/** Milliseconds for which further losses of a run that has crashed belong to the same crash. */
const CRASH_MERGE_MS = 5000
/**
 * Milliseconds after a loss within which another run that replaces an upstream shows that it has crashed: one that accepted
 * connections all the while, and one of which nothing was known. A host that is gone leaves the list after several seconds.
 */
const OPEN_REPLACEMENT_MS = 1500
const UNKNOWN_REPLACEMENT_MS = 8000
/** Milliseconds after a loss in which bytes that were sent before it may still be read. */
const LATE_BYTES_MS = 100
/** Number of runs whose lost connections are remembered; more than crash at a time. */
const MAX_TRACKED_RUNS = 1000
/** Number of suspect traits in one log line; all requests of a batch may be suspect. */
const MAX_LOGGED_SUSPECTS = 10

const LossState = {
  /** Not known yet whether the upstream has crashed. */
  probing: 'probing',
  crashed: 'crashed',
  /** The upstream, or another run in its place, accepts connections. */
  open: 'open',
  /** The upstream does not respond. */
  unknown: 'unknown'
} as const
type LossState = typeof LossState[keyof typeof LossState]

const STATE_BY_LISTENER: Readonly<Record<ListenerState, LossState>> = {
  [ListenerState.open]: LossState.open,
  [ListenerState.closed]: LossState.crashed,
  [ListenerState.unknown]: LossState.unknown
}

/** Milliseconds for which a loss in each state is remembered; while it is probed, until the outcome. */
const MEMORY_BY_STATE: Readonly<Record<LossState, number>> = {
  [LossState.probing]: Infinity,
  [LossState.crashed]: CRASH_MERGE_MS,
  [LossState.open]: OPEN_REPLACEMENT_MS,
  [LossState.unknown]: UNKNOWN_REPLACEMENT_MS
}

/** Lost connections to one run of an upstream, or connections on which it fell silent. */
interface Loss {
  entry: UpstreamEntry
  /** Whether the upstream was leaving, so that its end is no crash. */
  isPlanned: boolean
  /** Whether it only fell silent. It may be cut off, so only another run in its place shows that it has crashed. */
  isSilence: boolean
  at: MonotonicMilliseconds
  state: LossState
  /** Traits of the requests that were in flight on these connections, and are not reported yet. */
  traits: Map<string, number>
  /** Suspect traits of which the only request in flight was there. */
  trials: Set<string>
}

/** A crash as told to other instances. */
interface CrashReport {
  run: string
  /** Milliseconds since the crash. */
  age: number
  traits: TraitDepths
  trials: string[]
}

export interface CrashReports {
  /** Returns whether a request may run. */
  verdict: (traits: RequestTraits, now: MonotonicMilliseconds) => TraitVerdict
  /**
   * Whether another run than the given one has crashed with such requests.
   * @param lostRun run to which the connection was lost
   */
  isChargedElsewhere: (traits: RequestTraits, lostRun: UpstreamRun) => boolean
  /** Whether a refused request may run all the same, as a trial. It must not be repeated. */
  tryTrial: (traits: RequestTraits, verdict: RefusedVerdict, now: MonotonicMilliseconds) => boolean
  /** Records that the connection of a trial broke. */
  failTrial: (traits: RequestTraits, now: MonotonicMilliseconds) => void
  /**
   * Records that the connection of an attempt broke before the upstream had shown that it survives the request.
   * @param trials suspect traits for which the request was the only one in flight
   */
  recordLoss: (
    entry: UpstreamEntry, traits: RequestTraits, trials: readonly string[], now: MonotonicMilliseconds
  ) => void
  /**
   * Records that an attempt ended while its upstream was silent and had not shown that it survives the request.
   * @param trials suspect traits for which the request was the only one in flight
   */
  recordSilence: (
    upstream: Upstream, traits: RequestTraits, trials: readonly string[], now: MonotonicMilliseconds
  ) => void
  /** Records that an upstream has answered a request and lived on. */
  recordAnswer: (traits: RequestTraits, now: MonotonicMilliseconds) => void
  /** Applies a notification of another instance. */
  receive: (content: PeerValue, now: MonotonicMilliseconds) => void
  /** Probes, judges and reports; called several times per second. */
  check: (now: MonotonicMilliseconds) => void
}

export interface CrashReportsOptions {
  attribution: CrashAttribution
  /** Notifies all other instances. */
  broadcast: PeerBroadcast['send']
  instance: string
  /** Names of the other instances. */
  peers: () => readonly string[]
  directory: Pick<UpstreamDirectory, 'get'>
  probe?: (endpoint: Endpoint) => Promise<ListenerState>
  /** Called when upstreams have crashed during trials of these traits. */
  onTrialsFailed: (traits: readonly string[]) => void
  /** Monotonic clock in milliseconds. */
  now: () => number
  log: EdgeLog
  onFault: (error: unknown) => void
}

type Fields = Readonly<Record<string, unknown>>

function listOf (value: unknown): Fields[] {
  return Array.isArray(value) ? value.map((item) => (item ?? {}) as Fields) : []
}

function isAge (value: unknown): value is number {
  return typeof value === 'number' && value >= 0
}

function parseConvictions (value: unknown): Conviction[] {
  return listOf(value).flatMap(({ trait, age, trials, trialIn }) => {
    const isValid = typeof trait === 'string' && [age, trials, trialIn].every(Number.isFinite)
    return isValid ? [{ trait, age, trials, trialIn } as Conviction] : []
  })
}

function parseTraits (value: unknown): TraitDepths {
  return new Map(listOf(value).flatMap(({ trait, depth }) => (
    typeof trait === 'string' && typeof depth === 'number' ? [[trait, depth]] : []
  )))
}

function parseTexts (value: unknown): string[] {
  return Array.isArray(value) ? value.filter((item) => typeof item === 'string') : []
}

function parseCrashes (value: unknown): CrashReport[] {
  return listOf(value).flatMap(({ run, age, traits, trials }) => (
    typeof run === 'string' && isAge(age) ? [{ run, age, traits: parseTraits(traits), trials: parseTexts(trials) }] : []
  ))
}

function parseAnswers (value: unknown): Array<{ trait: string, age: number }> {
  return listOf(value).flatMap(({ trait, age }) => (
    typeof trait === 'string' && isAge(age) ? [{ trait, age }] : []
  ))
}

export function createCrashReports (options: CrashReportsOptions): CrashReports {
  const { attribution, broadcast, instance, peers, directory, probe = probeListener, log, onFault } = options
  const losses = new Map<string, Loss>()
  /** Traits that the other instances have charged although an upstream has answered them. */
  const soundTraits = new Set<string>()
  /** Number of crashes with which each suspect trait was logged last. */
  let loggedCrashes: ReadonlyMap<string, number> = new Map()
  /** Whether crashes were recorded since then. */
  let hasNewCrashes = false
  let announcedAt = -Infinity

  function startProbe (loss: Loss): void {
    probe(loss.entry.endpoint).then((listener) => {
      if (loss.state !== LossState.probing) return
      if (listener === ListenerState.closed) recordEnd(loss, options.now())
      else loss.state = STATE_BY_LISTENER[listener]
    }).catch(onFault)
  }

  function fieldsOf ({ entry: { identifier, service, startedAt }, traits }: Loss): Readonly<Record<string, unknown>> {
    return { upstream: identifier, service, startedAt, traits: [...traits.keys()] }
  }

  /** Records that the upstream has crashed. */
  function recordEnd (loss: Loss, now: MonotonicMilliseconds): void {
    loss.state = LossState.crashed
    log(EdgeEvent.upstreamCrashed, fieldsOf(loss))
    // The others must know before they repeat their requests elsewhere.
    report(now)
  }

  function isListed ({ identifier, startedAt }: UpstreamEntry): boolean {
    return directory.get(identifier)?.entry.startedAt === startedAt
  }

  /** Whether the upstream has left the list or has been replaced since the loss, without having planned to. */
  function isReplaced ({ entry, state, isPlanned, isSilence }: Loss): boolean {
    const isOpen = state === LossState.open || state === LossState.unknown
    const isCutOff = isSilence && directory.get(entry.identifier) === undefined
    return isOpen && !isPlanned && !isCutOff && !isListed(entry)
  }

  /** Whether the upstream has responded since the loss. */
  function hasResponded ({ entry, state, at }: Loss): boolean {
    const lastActivityAt = directory.get(entry.identifier)?.lastActivityAt ?? -Infinity
    return state === LossState.unknown && lastActivityAt > at + LATE_BYTES_MS
  }

  /**
   * Adds a request to the present loss of the run, or to a new one. Returns the new one; undefined if there is none.
   * A connection that breaks after a silence is a new loss, which also has the requests of the silence.
   */
  function addRequest (
    start: Omit<Loss, 'traits' | 'trials'>, traits: RequestTraits, trials: readonly string[]
  ): Loss | undefined {
    const key = runKey(start.entry)
    const present = losses.get(key)
    const isSilenceEnd = present?.isSilence === true && !start.isSilence
    const isPresent = present !== undefined && present.state !== LossState.open && !isSilenceEnd
    const loss: Loss = isPresent
      ? present
      : {
          ...start,
          traits: new Map(isSilenceEnd ? present.traits : []),
          trials: new Set(isSilenceEnd ? present.trials : [])
        }
    for (const trait of trials) loss.trials.add(trait)
    const depths = new Map(traits.all().map((trait, depth) => [trait, depth]))
    for (const [trait, depth] of attribution.chargeable(depths, start.at)) loss.traits.set(trait, depth)
    if (isPresent || loss.traits.size === 0) return undefined
    setBounded(losses, key, loss, MAX_TRACKED_RUNS)
    return loss
  }

  function dropOldLosses (now: MonotonicMilliseconds): void {
    for (const [key, loss] of losses) {
      if (now - loss.at < MEMORY_BY_STATE[loss.state] && !hasResponded(loss)) continue
      losses.delete(key)
      if (loss.state !== LossState.crashed) log(EdgeEvent.lossDropped, fieldsOf(loss))
    }
  }

  function recordCrash ({ run, age, traits, trials }: CrashReport, now: MonotonicMilliseconds): void {
    const newTrials = attribution.recordCrash(run, traits, now - age, trials)
    hasNewCrashes = true
    // The permits for trials that ended long ago have been handed out to others since.
    if (age < CRASH_MERGE_MS) options.onTrialsFailed(newTrials)
  }

  /** Records the crashes that are not reported yet, and returns them. */
  function takeCrashes (now: MonotonicMilliseconds): CrashReport[] {
    const crashed = [...losses].filter(([, { state, traits }]) => state === LossState.crashed && traits.size > 0)
    return crashed.map(([run, { at, traits: pending, trials: pendingTrials }]) => {
      const traits = attribution.chargeable(pending, at)
      const trials = [...pendingTrials]
      pending.clear()
      recordCrash({ run, age: now - at, traits, trials }, now)
      return { run, age: now - at, traits, trials }
    }).filter(({ traits }) => traits.size > 0)
  }

  function logSuspects (): void {
    if (!hasNewCrashes) return
    hasNewCrashes = false
    const suspects = attribution.suspects()
    const grown = suspects.filter(({ trait, crashes }) => crashes > (loggedCrashes.get(trait) ?? 0))
    loggedCrashes = new Map(suspects.map(({ trait, crashes }) => [trait, crashes]))
    if (grown.length === 0) return
    log(EdgeEvent.crashCauseSuspected, { count: grown.length, traits: grown.slice(0, MAX_LOGGED_SUSPECTS) })
  }

  /** Judges the crashes, and tells the other instances what is new. */
  function report (now: MonotonicMilliseconds): void {
    const crashes = takeCrashes(now)
    logSuspects()
    const causes = attribution.judge(now)
    for (const trait of causes) log(EdgeEvent.crashCauseFound, { trait, source: 'crashes' })
    const isAnnouncementDue = causes.length > 0 || now - announcedAt >= ANNOUNCE_INTERVAL_MS
    const convictions = isAnnouncementDue ? attribution.convictions(now) : []
    if (crashes.length + soundTraits.size + convictions.length === 0) return
    if (isAnnouncementDue) announcedAt = now
    const sound = [...soundTraits].map((trait) => ({ trait, age: now - attribution.lastAnswer(trait) }))
    soundTraits.clear()
    broadcast({
      crashes: crashes.map(({ run, age, traits, trials }) => ({
        run, age, trials, traits: [...traits].map(([trait, depth]) => ({ trait, depth }))
      })),
      sound,
      convictions
    })
  }

  function applyConviction (conviction: Conviction, now: MonotonicMilliseconds): void {
    const { trait } = conviction
    const isKnown = attribution.isConvicted(trait)
    if (!attribution.applyConviction(conviction, now)) soundTraits.add(trait)
    else if (!isKnown) log(EdgeEvent.crashCauseFound, { trait, source: 'peer' })
  }

  function logCleared ({ convicted }: ClearedTraits, source: 'answer' | 'peer'): void {
    for (const trait of convicted) log(EdgeEvent.crashCauseCleared, { trait, source })
  }

  return {
    verdict: (traits, now) => (
      attribution.hasCharges() ? attribution.verdict(traits.all(), now) : { kind: TraitVerdictKind.clear }
    ),
    isChargedElsewhere: (traits, lostRun) => (
      attribution.hasCharges() && attribution.isChargedElsewhere(traits.all(), runKey(lostRun))
    ),
    tryTrial (traits, { trait, isTrialDue }, now) {
      // One instance makes the trial for the whole fleet.
      if (!isTrialDue || rankByRendezvous(trait, [instance, ...peers()])[0] !== instance) return false
      attribution.startTrial(traits.all(), now)
      announcedAt = -Infinity
      log(EdgeEvent.crashTrialStarted, { trait })
      return true
    },
    failTrial (traits, now) {
      attribution.failTrial(traits.all(), now)
      announcedAt = -Infinity
    },
    recordLoss (entry, traits, trials, now) {
      const isPlanned = entry.leaving || !isListed(entry) || directory.get(entry.identifier)!.announcedLeaving
      const loss = addRequest({ entry, isPlanned, isSilence: false, at: now, state: LossState.probing }, traits, trials)
      if (loss === undefined) return
      if (attribution.hasCrash(runKey(entry))) recordEnd(loss, now)
      else startProbe(loss)
    },
    recordSilence (upstream, traits, trials, now) {
      const { entry } = upstream
      const isPlanned = isLeaving(upstream)
      const loss = addRequest({ entry, isPlanned, isSilence: true, at: now, state: LossState.unknown }, traits, trials)
      if (loss !== undefined && attribution.hasCrash(runKey(entry))) recordEnd(loss, now)
    },
    recordAnswer (traits, now) {
      const answered = attribution.hasCharges() ? traits.all() : traits.parts
      const cleared = attribution.recordAnswer(answered, now)
      logCleared(cleared, 'answer')
      for (const trait of [...cleared.charged, ...cleared.convicted]) soundTraits.add(trait)
    },
    receive ({ crashes, sound, convictions }, now) {
      for (const { trait, age } of parseAnswers(sound)) {
        logCleared(attribution.recordAnswer([trait], now - age), 'peer')
        soundTraits.delete(trait)
      }
      for (const { run, age, traits, trials } of parseCrashes(crashes)) {
        const chargeable = attribution.chargeable(traits, now - age)
        for (const trait of traits.keys()) {
          if (!chargeable.has(trait)) soundTraits.add(trait)
        }
        recordCrash({ run, age, traits: chargeable, trials }, now)
        const loss = losses.get(run)
        if (loss !== undefined && loss.state !== LossState.crashed) recordEnd(loss, now)
      }
      const received = parseConvictions(convictions)
      for (const conviction of received) applyConviction(conviction, now)
      if (received.length >= attribution.convictions(now).length) announcedAt = now
    },
    check (now) {
      for (const loss of losses.values()) {
        if (isReplaced(loss)) recordEnd(loss, now)
      }
      dropOldLosses(now)
      report(now)
    }
  }
}
