/**
 * Attributes crashes of upstreams to traits of the requests in flight. A trait is what several requests can have in
 * common: a part of the prompt, or the whole content.
 *
 * Load patterns behind these decisions:
 * - An upstream crashes with many requests in its batch, and one of them is the cause. Each trait whose request had not
 *   shown yet that the upstream survives it is charged with the crash.
 * - Most traits are sound and are answered elsewhere all the time. An answer clears a trait of all crashes before it.
 * - A rack loses power: the crashes come at the same moment and count once. The traits that were in flight are suspect all
 *   the same, because a request that is sent several times at once looks like that, too.
 * - A suspect trait is sent by one request at a time, its trial. Nothing but chance makes an upstream crash during a trial
 *   of a sound trait, so it convicts a trait that several crashes at the same moment made suspect.
 * - A sound trait is in flight at several crashes that another trait causes: a trait is not convicted while another one
 *   was in flight at all of these crashes and at more, nor for crashes that a convicted trait explains.
 * - A deadly part follows a sound one, and no other request has that one at the moment: of traits that were in flight at
 *   the same crashes only the most specific one is convicted, so that no more than necessary is refused. Another one is
 *   convicted at the next crash that the first does not explain.
 * - A sound trait may be convicted all the same: after some time, a single request is tried.
 */
import { setBounded } from '../boundedMap'
import { CRASH_MEMORY_MS } from '../constants'
import type { MonotonicMilliseconds } from '../types'

/** Number of crashes that convict a trait. With several traits in flight at the same crashes, one more is needed. */
const CONVICTION_CRASHES = 3
/** Number of crashes from which a trait is suspect, even if they came at the same moment. */
const SUSPICION_CRASHES = 2
/** Number of suspect traits of one request that are told; each takes a round trip before the request may run. */
const MAX_SUSPECTS = 3
/** Crashes within this many milliseconds count once. */
const COINCIDENCE_MS = 100
/** Milliseconds after a crash for which reports of other instances are awaited before it is judged. */
const SETTLE_MS = 250
/** Milliseconds after an answer within which its traits are not charged with crashes. */
const SOUND_MS = 10_000
/** Milliseconds until a convicted trait is tried for the first time; each further trial comes later by the factor. */
const FIRST_TRIAL_MS = 60_000
const TRIAL_BACKOFF = 8
/** Milliseconds without a request after which a conviction is forgotten. */
const CONVICTION_MEMORY_MS = 3_600_000
/** Milliseconds for which the outcome of a trial is awaited; also the retry-after while one is due. */
const TRIAL_RETRY_MS = 10_000
const MAX_CRASHES = 100
const MAX_TRAITS_PER_CRASH = 500
const MAX_CONVICTIONS = 1000
/** Number of traits whose last answer is remembered. */
const MAX_SOUND_TRAITS = 20_000

export const TraitVerdictKind = {
  clear: 'clear',
  /** Possibly the cause of several crashes; may run as the only such request, and not again after a failure. */
  suspect: 'suspect',
  refused: 'refused'
} as const
export type TraitVerdictKind = typeof TraitVerdictKind[keyof typeof TraitVerdictKind]

export interface RefusedVerdict {
  kind: typeof TraitVerdictKind.refused
  trait: string
  /** Milliseconds until a request with the trait may be served again. */
  retryAfter: number
  /** Whether one request may be tried. */
  isTrialDue: boolean
}

export interface SuspectVerdict {
  kind: typeof TraitVerdictKind.suspect
  /** The suspect traits with the most crashes, in this order. */
  traits: readonly string[]
}

export type TraitVerdict =
  | { kind: typeof TraitVerdictKind.clear }
  | SuspectVerdict
  | RefusedVerdict

/** A conviction as told to other instances. */
export interface Conviction {
  trait: string
  /** Milliseconds since the conviction. */
  age: number
  /** Number of failed trials so far. */
  trials: number
  /** Milliseconds until the next trial. */
  trialIn: number
}

/**
 * Traits with their depths: the position of a part in the prompt, the largest for the content. A part with a larger
 * depth is in fewer requests.
 */
export type TraitDepths = ReadonlyMap<string, number>

/** A crash as told to other instances. */
export interface ChargedCrash {
  run: string
  at: MonotonicMilliseconds
  traits: TraitDepths
  /** Suspect traits of which the only request in flight was there. */
  trials: readonly string[]
}

/** What a trait is charged with. */
export interface TraitCharge {
  trait: string
  /** Number of crashes, those that a convicted trait explains included. */
  crashes: number
  /** Number of these that count towards a conviction. */
  counted: number
}

export interface ClearedTraits {
  charged: readonly string[]
  convicted: readonly string[]
}

const NOTHING_CLEARED: ClearedTraits = { charged: [], convicted: [] }

export interface CrashAttribution {
  verdict: (traits: readonly string[], now: MonotonicMilliseconds) => TraitVerdict
  /** Returns the traits that a crash is charged to, without those that were answered a short time before. */
  chargeable: (traits: TraitDepths, crashedAt: MonotonicMilliseconds) => Map<string, number>
  /**
   * Records the crash of a run, or further traits that were in flight there. Repeated calls have no effect.
   * @param trials suspect traits of which the only request in flight was there
   * @returns the trials that were not recorded yet
   */
  recordCrash: (run: string, traits: TraitDepths, at: MonotonicMilliseconds, trials?: readonly string[]) => string[]
  /** Returns the crashes with the traits that are charged with them, the newest first. */
  charged: () => ChargedCrash[]
  /** Whether the crash of a run is recorded. */
  hasCrash: (run: string) => boolean
  /** Whether any of the traits is charged with the crash of another run. */
  isChargedElsewhere: (traits: readonly string[], run: string) => boolean
  /**
   * Clears traits that an upstream answered at the given time. Returns those that had been charged, and those that were
   * convicted.
   */
  recordAnswer: (traits: readonly string[], at: MonotonicMilliseconds) => ClearedTraits
  /** Returns when a trait was last answered; -Infinity if that is not known. */
  lastAnswer: (trait: string) => MonotonicMilliseconds
  /** Judges the crashes whose reports have arrived. Returns the traits that are newly convicted. */
  judge: (now: MonotonicMilliseconds) => string[]
  /** Records that a request with these traits is tried; without an outcome, another one may be tried soon. */
  startTrial: (traits: readonly string[], now: MonotonicMilliseconds) => void
  /** Records that the connection of a trial broke, so that the next trial comes later. */
  failTrial: (traits: readonly string[], now: MonotonicMilliseconds) => void
  isConvicted: (trait: string) => boolean
  /** Returns the traits that were in flight at several crashes. */
  suspects: () => TraitCharge[]
  convictions: (now: MonotonicMilliseconds) => Conviction[]
  /** Applies a conviction of another instance; returns false if the trait was answered after it. */
  applyConviction: (conviction: Conviction, now: MonotonicMilliseconds) => boolean
  /** Whether any trait is charged or convicted. */
  hasCharges: () => boolean
}

interface Crash {
  run: string
  at: MonotonicMilliseconds
  traits: Map<string, number>
  /** Suspect traits of which the only request in flight was there. */
  trials: Set<string>
  isJudged: boolean
}

interface Charge {
  crashes: Crash[]
  /** Number of crashes among them that no convicted trait explains. */
  count: number
}

interface ConvictedTrait {
  since: MonotonicMilliseconds
  requestedAt: MonotonicMilliseconds
  trials: number
  nextTrialAt: MonotonicMilliseconds
}

const Judgement = {
  none: 'none',
  /** As likely as a more specific trait. */
  undecided: 'undecided',
  convicted: 'convicted'
} as const
type Judgement = typeof Judgement[keyof typeof Judgement]

/** Counts crashes in chronological order; those within `COINCIDENCE_MS` of a counted one are not counted. */
function countDistinct (crashes: readonly Crash[]): number {
  let count = 0
  let countedAt = -Infinity
  for (const { at } of crashes) {
    if (at - countedAt < COINCIDENCE_MS) continue
    count += 1
    countedAt = at
  }
  return count
}

/** Reports on a crash may arrive after those on later ones. */
function insertInOrder (crashes: Crash[], crash: Crash): void {
  crashes.splice(crashes.findLastIndex(({ at }) => at <= crash.at) + 1, 0, crash)
}

export function createCrashAttribution (): CrashAttribution {
  /** By run, oldest first. */
  const crashes = new Map<string, Crash>()
  const answeredAt = new Map<string, MonotonicMilliseconds>()
  const convicted = new Map<string, ConvictedTrait>()
  /** Traits that were in flight at all crashes of a convicted trait. */
  const undecided = new Set<string>()
  /** Crashes in which each trait was in flight and that no answer has cleared, in chronological order. */
  const charges = new Map<string, Charge>()

  /** Whether no convicted trait other than this one was in flight at the crash. */
  function isUnexplained (crash: Crash, trait: string): boolean {
    return ![...convicted.keys()].some((other) => other !== trait && crash.traits.has(other))
  }

  /** Recalculates the charges of traits after a crash was added or a conviction has changed. */
  function updateCounts (traits: Iterable<string>): void {
    for (const trait of traits) {
      const charge = charges.get(trait)
      if (charge === undefined) continue
      charge.count = charge.crashes.filter((crash) => isUnexplained(crash, trait)).length
    }
  }

  function lastAnswer (trait: string): MonotonicMilliseconds {
    return answeredAt.get(trait) ?? -Infinity
  }

  /** Removes the charges of a trait for crashes before a time; returns whether there were any. */
  function dropCharges (trait: string, before: MonotonicMilliseconds): boolean {
    const charge = charges.get(trait)
    if (charge === undefined) return false
    const remaining = charge.crashes.filter(({ at }) => at >= before)
    if (remaining.length === charge.crashes.length) return false
    charge.crashes = remaining
    if (remaining.length === 0) charges.delete(trait)
    return true
  }

  function removeCrash (run: string): void {
    const crash = crashes.get(run)!
    crashes.delete(run)
    for (const trait of crash.traits.keys()) {
      const charge = charges.get(trait)
      if (charge === undefined) continue
      charge.crashes = charge.crashes.filter((other) => other !== crash)
      if (charge.crashes.length > 0) continue
      charges.delete(trait)
      undecided.delete(trait)
    }
    updateCounts(crash.traits.keys())
  }

  function expire (now: MonotonicMilliseconds): void {
    for (const [run, { at }] of crashes) {
      if (now - at >= CRASH_MEMORY_MS) removeCrash(run)
    }
    for (const [trait, { requestedAt }] of convicted) {
      if (now - requestedAt >= CONVICTION_MEMORY_MS) convicted.delete(trait)
    }
  }

  /** Returns the crashes that a trait is charged with, that have settled, and that no convicted trait explains. */
  function settledCrashes (trait: string, now: MonotonicMilliseconds): Crash[] {
    const all = charges.get(trait)?.crashes ?? []
    return all.filter((crash) => now - crash.at >= SETTLE_MS && isUnexplained(crash, trait))
  }

  /** Decides whether the trait explains its crashes better than all others. */
  function judgeTrait (trait: string, now: MonotonicMilliseconds): Judgement {
    const charged = settledCrashes(trait, now)
    const count = countDistinct(charged)
    if (undecided.has(trait) && count > 0) return Judgement.convicted
    const isConfirmed = charged.length >= CONVICTION_CRASHES && charged.some(({ trials }) => trials.has(trait))
    if (count < CONVICTION_CRASHES && !isConfirmed) return Judgement.none
    const { traits } = charged[0]!
    const rivals = [...traits.keys()].filter((other) => {
      const charge = other === trait ? undefined : charges.get(other)
      return charge !== undefined && charged.every((crash) => charge.crashes.includes(crash))
    })
    if (rivals.some((rival) => countDistinct(settledCrashes(rival, now)) > count)) return Judgement.none
    if (rivals.length > 0 && count <= CONVICTION_CRASHES) return Judgement.none
    const isLessSpecific = rivals.some((rival) => traits.get(rival)! > traits.get(trait)!)
    return isLessSpecific ? Judgement.undecided : Judgement.convicted
  }

  function convict (trait: string, now: MonotonicMilliseconds): void {
    setBounded(convicted, trait, {
      since: now, requestedAt: now, trials: 0, nextTrialAt: now + FIRST_TRIAL_MS
    }, MAX_CONVICTIONS)
  }

  function convictionsOf (traits: readonly string[]): ConvictedTrait[] {
    return traits.flatMap((trait) => convicted.get(trait) ?? [])
  }

  return {
    verdict (traits, now) {
      if (charges.size === 0 && convicted.size === 0) return { kind: TraitVerdictKind.clear }
      const found = traits.filter((trait) => convicted.has(trait))
      for (const trait of found) convicted.get(trait)!.requestedAt = now
      const [latest] = found.sort((left, right) => convicted.get(right)!.nextTrialAt - convicted.get(left)!.nextTrialAt)
      if (latest !== undefined) {
        const wait = convicted.get(latest)!.nextTrialAt - now
        const isTrialDue = wait <= 0
        const retryAfter = isTrialDue ? TRIAL_RETRY_MS : wait
        return { kind: TraitVerdictKind.refused, trait: latest, retryAfter, isTrialDue }
      }
      const crashCount = (trait: string): number => charges.get(trait)?.count ?? 0
      const suspects = traits.filter((trait) => crashCount(trait) >= SUSPICION_CRASHES)
        .sort((left, right) => crashCount(right) - crashCount(left)).slice(0, MAX_SUSPECTS)
      return suspects.length === 0
        ? { kind: TraitVerdictKind.clear }
        : { kind: TraitVerdictKind.suspect, traits: suspects }
    },
    chargeable: (traits, crashedAt) => (
      new Map([...traits].filter(([trait]) => crashedAt - lastAnswer(trait) >= SOUND_MS))
    ),
    recordCrash (run, traits, at, trials = []) {
      const known = crashes.get(run)
      const crash = known ?? { run, at, traits: new Map<string, number>(), trials: new Set<string>(), isJudged: false }
      const newTrials = trials.filter((trait) => traits.has(trait) && !crash.trials.has(trait))
      for (const trait of newTrials) crash.trials.add(trait)
      const added = [...traits.keys()]
        .filter((trait) => !crash.traits.has(trait) && crash.at - lastAnswer(trait) >= SOUND_MS)
        .slice(0, MAX_TRAITS_PER_CRASH - crash.traits.size)
      if (added.length + newTrials.length > 0) crash.isJudged = false
      if (added.length === 0) return newTrials
      crashes.set(run, crash)
      for (const trait of added) {
        crash.traits.set(trait, traits.get(trait)!)
        const charge = charges.get(trait)
        if (charge === undefined) charges.set(trait, { crashes: [crash], count: 0 })
        else insertInOrder(charge.crashes, crash)
      }
      updateCounts(added)
      const oldest = crashes.keys().next().value
      if (crashes.size > MAX_CRASHES && oldest !== undefined) removeCrash(oldest)
      return newTrials
    },
    charged: () => [...crashes.values()].reverse().map((crash) => ({
      ...crash,
      traits: new Map([...crash.traits].filter(([trait]) => charges.get(trait)?.crashes.includes(crash))),
      trials: [...crash.trials]
    })).filter(({ traits }) => traits.size > 0),
    hasCrash: (run) => crashes.has(run),
    isChargedElsewhere: (traits, run) => (
      traits.some((trait) => charges.get(trait)?.crashes.some((crash) => crash.run !== run))
    ),
    recordAnswer (traits, at) {
      for (const trait of traits) setBounded(answeredAt, trait, Math.max(at, lastAnswer(trait)), MAX_SOUND_TRAITS)
      if (charges.size === 0 && convicted.size === 0) return NOTHING_CLEARED
      const acquitted = traits.filter((trait) => at > (convicted.get(trait)?.since ?? Infinity))
      const explained = acquitted.flatMap((trait) => charges.get(trait)?.crashes ?? [])
      for (const trait of acquitted) convicted.delete(trait)
      const charged = traits.filter((trait) => dropCharges(trait, at + SOUND_MS))
      for (const trait of charged) undecided.delete(trait)
      // What an acquitted trait explained is charged to the others again.
      updateCounts([...charged, ...explained.flatMap((crash) => [...crash.traits.keys()])])
      return { charged, convicted: acquitted }
    },
    lastAnswer,
    judge (now) {
      expire(now)
      const due = [...crashes.values()].filter(({ at, isJudged }) => !isJudged && now - at >= SETTLE_MS)
      for (const crash of due) crash.isJudged = true
      const candidates = new Set(due.flatMap(({ traits }) => [...traits.keys()]))
      const judgements = [...candidates].filter((trait) => !convicted.has(trait))
        .map((trait) => ({ trait, judgement: judgeTrait(trait, now) }))
      const withJudgement = (expected: Judgement): string[] => (
        judgements.filter(({ judgement }) => judgement === expected).map(({ trait }) => trait)
      )
      for (const trait of withJudgement(Judgement.undecided)) undecided.add(trait)
      const causes = withJudgement(Judgement.convicted)
      for (const trait of causes) convict(trait, now)
      if (causes.length > 0) updateCounts(charges.keys())
      return causes
    },
    startTrial (traits, now) {
      for (const conviction of convictionsOf(traits)) conviction.nextTrialAt = now + TRIAL_RETRY_MS
    },
    failTrial (traits, now) {
      for (const conviction of convictionsOf(traits)) {
        conviction.trials += 1
        conviction.nextTrialAt = now + FIRST_TRIAL_MS * TRIAL_BACKOFF ** conviction.trials
      }
    },
    isConvicted: (trait) => convicted.has(trait),
    suspects: () => (
      [...charges].filter(([, charge]) => charge.crashes.length >= SUSPICION_CRASHES)
        .map(([trait, { crashes: all }]) => (
          { trait, crashes: all.length, counted: countDistinct(all.filter((crash) => isUnexplained(crash, trait))) }
        ))
    ),
    convictions: (now) => [...convicted].map(([trait, { since, trials, nextTrialAt }]) => (
      { trait, age: now - since, trials, trialIn: nextTrialAt - now }
    )),
    applyConviction ({ trait, age, trials, trialIn }, now) {
      if (now - age < lastAnswer(trait)) return false
      const isNew = !convicted.has(trait)
      if (isNew) convict(trait, now)
      const conviction = convicted.get(trait)!
      conviction.since = Math.min(conviction.since, now - age)
      conviction.nextTrialAt = isNew ? now + trialIn : Math.max(conviction.nextTrialAt, now + trialIn)
      conviction.trials = Math.max(conviction.trials, trials)
      if (isNew) updateCounts(charges.keys())
      return true
    },
    hasCharges: () => charges.size > 0 || convicted.size > 0
  }
}
