/**
 * Runs the attempts of one request: the leading one and, while all that run are silent, others beside it. No attempt is
 * given up before another one has begun to answer, because a silent upstream may go on, and another one may be full,
 * refuse, fail or fall silent as well. The first attempt that answers ends the others.
 */
import { InternalError } from '../errors'

/** Interval in milliseconds at which a further attempt is considered while all are silent. */
const BESIDE_INTERVAL_MS = 250

/** An attempt that is ready to be sent. */
export interface AttemptSource<Details, Value> {
  details: Details
  /** Sends the attempt and yields what the upstream answers. Must end when the signal is aborted. */
  open: (onSilence: () => void, signal: AbortSignal) => AsyncIterable<Value>
}

export interface AttemptRaceOptions<Details, Value> {
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
  /** Called once for each silence. Also called for an attempt that runs beside another one. */
  onSilence: (attempt: Details) => void
  /** Called when an attempt that was silent goes on. */
  onProgress: (attempt: Details) => void
  /** Returns an attempt to run beside the silent ones, or undefined if none may be sent at the moment. */
  startBeside: (leader: Details, beside: readonly Details[]) => AttemptSource<Details, Value> | undefined
  /** Called when an attempt beside the leading one has failed. The leading one goes on. */
  onBesideFailed: (attempt: Details, error: unknown) => void
  /** Called when an attempt beside the leading one was ended because another one answers. */
  onBesideCancelled: (attempt: Details, answering: Details) => void
  /** Called when the leading attempt was ended because another one has begun to answer. */
  onReplaced: (replaced: Details, successor: Details) => void
}

export type RaceEvent<Details, Value> =
  | { kind: 'value', attempt: Details, value: Value }
  /** The leading attempt has ended without an answer. */
  | { kind: 'failed', attempt: Details, error: unknown }

export interface AttemptRace<Details, Value> {
  /** Sends the leading attempt. */
  lead: (source: AttemptSource<Details, Value>) => void
  /** Returns the next value of the leading attempt or of the one that replaces it, or the failure of the leading one. */
  next: () => Promise<RaceEvent<Details, Value>>
  /** Ends an attempt with an error, for example when its upstream has ended. */
  fail: (attempt: Details, error: unknown) => void
  /** After a failure, makes the oldest remaining attempt the leading one. Returns undefined if there is none. */
  promote: () => Details | undefined
  /** Ends the leading attempt after its final value, so that its connection can be reused. */
  finish: () => void
  /** Ends all attempts and returns them. */
  close: () => readonly Details[]
}

interface Runner<Details, Value> {
  details: Details
  iterator: AsyncIterator<Value>
  isPulled: boolean
  isSilent: boolean
  outcome: { value: Value } | { error: unknown } | undefined
  /** Closes the connection unless the answer was read to its end. */
  stop: () => void
  finish: () => void
}

export function createAttemptRace<Details, Value> (
  options: AttemptRaceOptions<Details, Value>
): AttemptRace<Details, Value> {
  const { signal } = options
  let leader: Runner<Details, Value> | undefined
  let beside: ReadonlyArray<Runner<Details, Value>> = []
  let wake = (): void => {}

  function start ({ details, open }: AttemptSource<Details, Value>): Runner<Details, Value> {
    const controller = new AbortController()
    const onAbort = (): void => { controller.abort(signal.reason) }
    if (signal.aborted) onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    function noteSilence (): void {
      runner.isSilent = true
      options.onSilence(details)
      wake()
    }
    const iterator = open(noteSilence, controller.signal)[Symbol.asyncIterator]()
    function finish (): void {
      signal.removeEventListener('abort', onAbort)
      iterator.return?.().catch(() => {})
    }
    const runner: Runner<Details, Value> = {
      details,
      iterator,
      isPulled: false,
      isSilent: false,
      outcome: undefined,
      finish,
      stop () {
        controller.abort(new InternalError('the attempt was cancelled'))
        finish()
      }
    }
    return runner
  }

  function pull (runner: Runner<Details, Value>): void {
    if (runner.isPulled) return
    runner.isPulled = true
    function settle (outcome: { value: Value } | { error: unknown }): void {
      runner.outcome ??= outcome
      wake()
    }
    runner.iterator.next().then(
      (result) => {
        settle(result.done === true
          ? { error: new InternalError('the attempt ended without a final chunk') }
          : { value: result.value })
      },
      (error: unknown) => { settle({ error }) }
    )
  }

  function takeOutcome (runner: Runner<Details, Value>): Runner<Details, Value>['outcome'] {
    const { outcome } = runner
    if (outcome === undefined) return undefined
    runner.outcome = undefined
    runner.isPulled = false
    return outcome
  }

  async function waitForChange (milliseconds: number | undefined): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = milliseconds === undefined ? undefined : setTimeout(resolve, milliseconds)
      wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Returns the event of the leading attempt, if there is one. */
  function leaderEvent (runner: Runner<Details, Value>): RaceEvent<Details, Value> | undefined {
    const outcome = takeOutcome(runner)
    if (outcome === undefined) return undefined
    if ('error' in outcome) {
      runner.stop()
      leader = undefined
      return { kind: 'failed', attempt: runner.details, error: outcome.error }
    }
    if (runner.isSilent) options.onProgress(runner.details)
    runner.isSilent = false
    cancelBeside(runner)
    return { kind: 'value', attempt: runner.details, value: outcome.value }
  }

  function cancelBeside (answering: Runner<Details, Value>): void {
    const cancelled = beside.filter((runner) => runner !== answering)
    beside = []
    for (const runner of cancelled) {
      runner.stop()
      options.onBesideCancelled(runner.details, answering.details)
    }
  }

  /** Returns the first value of an attempt beside the leading one, which is replaced by it. */
  function besideEvent (silent: Runner<Details, Value>): RaceEvent<Details, Value> | undefined {
    for (const runner of beside) {
      const outcome = takeOutcome(runner)
      if (outcome === undefined) continue
      if ('error' in outcome) {
        beside = beside.filter((other) => other !== runner)
        runner.stop()
        options.onBesideFailed(runner.details, outcome.error)
        continue
      }
      leader = runner
      runner.isSilent = false
      silent.stop()
      options.onReplaced(silent.details, runner.details)
      cancelBeside(runner)
      return { kind: 'value', attempt: runner.details, value: outcome.value }
    }
    return undefined
  }

  return {
    lead (source) {
      leader = start(source)
    },
    async next () {
      while (true) {
        if (leader === undefined) throw new InternalError('no attempt is running')
        pull(leader)
        for (const runner of beside) pull(runner)
        const event = leaderEvent(leader) ?? besideEvent(leader)
        if (event !== undefined) return event
        const areSilent = [leader, ...beside].every(({ isSilent }) => isSilent) && !signal.aborted
        const source = areSilent
          ? options.startBeside(leader.details, beside.map(({ details }) => details))
          : undefined
        if (source === undefined) await waitForChange(areSilent ? BESIDE_INTERVAL_MS : undefined)
        else beside = [...beside, start(source)]
      }
    },
    fail (attempt, error) {
      const runner = [leader, ...beside].find((candidate) => candidate?.details === attempt)
      if (runner === undefined || runner.outcome !== undefined) return
      runner.outcome = { error }
      wake()
    },
    promote () {
      leader = beside[0]
      beside = beside.slice(1)
      return leader?.details
    },
    finish () {
      leader?.finish()
      leader = undefined
    },
    close () {
      const runners = leader === undefined ? beside : [leader, ...beside]
      leader = undefined
      beside = []
      for (const runner of runners) runner.stop()
      return runners.map(({ details }) => details)
    }
  }
}
