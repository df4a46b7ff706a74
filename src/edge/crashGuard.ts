/** Applies the verdicts on crashes of upstreams to one request. */
import type { MonotonicMilliseconds } from '../types'
import { TraitVerdictKind, type RefusedVerdict } from '../upstream/crashAttribution'
import type { Attempt } from './attempt'
import type { ExchangeContext } from './exchangeContext'
import { traitsOf, type TraitSource } from './requestTraits'
import type { TrialPermit } from './trialPermits'
import type { UpstreamRun } from './types'

/** Milliseconds from the first byte of a response after which its request did not crash the upstream. */
const SURVIVAL_MS = 500
/** Milliseconds after a lost connection within which it turns out whether the upstream has crashed. */
const LOSS_HOLD_MS = 5000
/** Milliseconds after the end of a request whose outcome is unknown within which its upstream may still crash. */
const UNKNOWN_HOLD_MS = 1000

export interface CrashGuard {
  /**
   * Returns why the request must not be sent to an upstream; undefined if it may. The request may become the single one
   * that is tried while such requests are rejected.
   * @param hasRun whether an upstream may have run it before; such a request is not tried again
   */
  findConviction: (hasRun: boolean, now: MonotonicMilliseconds) => RefusedVerdict | undefined
  /**
   * Returns a suspect trait for which the request has no permit to be the only one in flight; undefined if there is
   * none.
   */
  missingPermit: (now: MonotonicMilliseconds) => string | undefined
  /** Whether the request must not be sent as it is, because of a conviction or a missing permit. */
  isBlocked: (now: MonotonicMilliseconds) => boolean
  /**
   * Waits for the permit, or for the outcome of the request that has it. Resolves to false if neither came in time.
   * @param maximumWait milliseconds
   */
  waitForPermit: (trait: string, maximumWait: number) => Promise<boolean>
  /**
   * Returns the permits, once the request has ended.
   * @param hasRun whether an upstream may have run it
   */
  releasePermits: (hasRun: boolean) => void
  /** Whether a request that waits at an upstream must be withdrawn. */
  mustWithdraw: (attempt: Attempt, now: MonotonicMilliseconds) => boolean
  /** Returns the trait for which the request may be the cause of crashes; undefined if there is none. */
  suspectTrait: (now: MonotonicMilliseconds) => string | undefined
  /**
   * Whether the next upstream might crash, too, if the request were repeated after a failure.
   * @param attempt attempt that would fail; by default, the one that was lost last
   */
  mayCrashAgain: (now: MonotonicMilliseconds, attempt?: Attempt) => boolean
  /** Records that the connection of an attempt broke. */
  recordLoss: (attempt: Attempt, now: MonotonicMilliseconds) => void
  /** Records that an attempt ended while its upstream was silent, which may have crashed without a sign. */
  recordSilence: (attempt: Attempt, now: MonotonicMilliseconds) => void
  /** Records a part of the response. */
  recordProgress: (attempt: Attempt, now: MonotonicMilliseconds) => void
  /** Records a complete response. */
  recordAnswer: (attempt: Attempt, now: MonotonicMilliseconds) => void
  /** Returns the traits of the request, for the log. */
  traits: () => readonly string[]
}

export function createCrashGuard (
  context: Pick<ExchangeContext, 'crashReports' | 'trialPermits' | 'now'>, source: TraitSource
): CrashGuard {
  const { crashReports: reports, trialPermits } = context
  const traits = traitsOf(source)
  const permits = new Map<string, TrialPermit>()
  let isEnded = false
  /** Whether an upstream has survived the request. */
  let hasSurvivor = false
  let isTrial = false
  /** Run to which the connection was lost last, before it had shown that it survives the request. */
  let lostRun: UpstreamRun | undefined

  function suspectTrait (now: MonotonicMilliseconds): string | undefined {
    const verdict = reports.verdict(traits, now)
    if (verdict.kind === TraitVerdictKind.clear) return undefined
    return verdict.kind === TraitVerdictKind.suspect ? verdict.traits[0] : verdict.trait
  }

  function recordAnswer (attempt: Attempt, now: MonotonicMilliseconds): void {
    if (attempt.isSurvived) return
    attempt.isSurvived = true
    hasSurvivor = true
    reports.recordAnswer(traits, now)
  }

  function missingPermit (now: MonotonicMilliseconds): string | undefined {
    const verdict = reports.verdict(traits, now)
    return verdict.kind === TraitVerdictKind.suspect
      ? verdict.traits.find((trait) => !permits.has(trait))
      : undefined
  }

  function keepPermit (trait: string, permit: TrialPermit): void {
    if (isEnded) permit.release(0)
    else permits.set(trait, permit)
  }

  return {
    findConviction (hasRun, now) {
      const verdict = reports.verdict(traits, now)
      if (verdict.kind !== TraitVerdictKind.refused || isTrial) return undefined
      isTrial = !hasRun && reports.tryTrial(traits, verdict, now)
      return isTrial ? undefined : verdict
    },
    isBlocked (now) {
      const isConvicted = reports.verdict(traits, now).kind === TraitVerdictKind.refused && !isTrial
      return isConvicted || missingPermit(now) !== undefined
    },
    missingPermit,
    async waitForPermit (trait, maximumWait) {
      const isNeeded = (): boolean => !isEnded && missingPermit(context.now().steady) === trait
      const permit = await trialPermits.waitFor(trait, maximumWait, isNeeded)
      if (permit !== undefined) keepPermit(trait, permit)
      return !isNeeded()
    },
    releasePermits (hasRun) {
      isEnded = true
      const holdFor = lostRun === undefined ? UNKNOWN_HOLD_MS : LOSS_HOLD_MS
      for (const permit of permits.values()) permit.release(hasRun && !hasSurvivor ? holdFor : 0)
      permits.clear()
    },
    mustWithdraw: ({ firstByteAt }, now) => (
      firstByteAt === undefined && !isTrial && reports.verdict(traits, now).kind === TraitVerdictKind.refused
    ),
    suspectTrait,
    // The crash that this request may just have caused is not recorded yet.
    mayCrashAgain (now, attempt) {
      const run = attempt === undefined || attempt.isSurvived ? lostRun : attempt.upstream.entry
      return suspectTrait(now) !== undefined || (run !== undefined && reports.isChargedElsewhere(traits, run))
    },
    recordLoss ({ upstream, isSurvived }, now) {
      if (isSurvived) return
      lostRun = upstream.entry
      if (isTrial) reports.failTrial(traits, now)
      reports.recordLoss(upstream.entry, traits, [...permits.keys()], now)
    },
    recordSilence ({ upstream, isSurvived }, now) {
      if (isSurvived) return
      lostRun = upstream.entry
      if (isTrial) reports.failTrial(traits, now)
      reports.recordSilence(upstream, traits, [...permits.keys()], now)
    },
    recordProgress (attempt, now) {
      if (attempt.firstByteAt !== undefined && now - attempt.firstByteAt >= SURVIVAL_MS) recordAnswer(attempt, now)
    },
    recordAnswer,
    traits: traits.all
  }
}
