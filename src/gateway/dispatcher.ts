/**
 * Assigns completions to engines by applying the fair queue, the concurrency limits, the cold-prefix gate and routing in
 * sequence. The policies are implemented in `src/fairness/`, `src/prefix/` and `src/upstream/registry.ts`.
 */
import { CrashingRequestError, InternalError, NoUpstreamError, OverloadedError } from '../errors'
import type { ConcurrencyLimit, FairQueue } from '../fairness/types'
import type { ColdPrefixGate } from '../prefix/coldPrefix'
import { mostCachedBlocks } from '../prefix/routing'
import type { BlockIndex, RoutingCandidate, RoutingDecision, RoutingPolicy, RoutingRequest } from '../prefix/types'
import { EndReason } from '../request/endReason'
import type { CrashVerdict } from '../upstream/crashLedger'
import type { UpstreamRegistry } from '../upstream/registryTypes'
import { ExecutionStatus } from '../types'
import type { Endpoint, Incarnation, MonotonicMilliseconds, RandomSource } from '../types'

/** Time in milliseconds for which work waits for an engine to become available when none serves its version. */
const ENGINE_DISCOVERY_TIMEOUT_MS = 2000

/** Retry-After in seconds when no engine serves the requested version. */
const NO_UPSTREAM_RETRY_SECONDS = 2

export interface DispatchWork {
  identifier: string
  customer: string
  model: string
  version: string
  adapter: string
  routing: RoutingRequest
  /** Cost in the fair queue, in tokens. */
  cost: number
  deadline: MonotonicMilliseconds
  /** Upstreams that have failed this request. They are used again only if no other upstream is available. */
  exclude: readonly string[]
  /** Upstreams that are used only if no other is available, not even one of `exclude`. */
  excludeStrictly: readonly string[]
  /** Upstreams that are not used at all. @default none */
  avoid?: readonly string[]
  /** Fingerprint of the request content. Requests with a suspect fingerprint run on one upstream at a time. */
  fingerprint: string
  /** Returns the current crash verdict on the fingerprint, which may change while the work is queued. */
  verdict: () => CrashVerdict
  /** True for a stream that is being resumed. It bypasses the queue and waits for its engines to become available again. */
  isResumption: boolean
}

export interface Placement {
  upstream: string
  endpoint: Endpoint
  incarnation: Incarnation
  /** Number of leading blocks that are expected to be cached on the upstream. */
  expectedBlocks: number
  /** Time spent in the queue, in milliseconds. */
  queueWaitMilliseconds: number
  /** Records the arrival of the first token. `cachedTokens` is the known or estimated number of cached prompt tokens. */
  recordFirstToken: (cachedTokens: number) => void
  /** Lets requests with the same prefix start that wait for this one to compute it. */
  releasePrefix: () => void
  /** Releases the slot on the upstream. `failed` is true if the upstream did not complete the request. */
  release: (failed: boolean) => void
}

export interface DispatcherOptions {
  queue: FairQueue
  registry: UpstreamRegistry
  index: BlockIndex
  gate: ColdPrefixGate
  choose: RoutingPolicy
  /** Returns the concurrency limit of an upstream. */
  limitOf: (upstream: string) => ConcurrencyLimit
  now: () => MonotonicMilliseconds
  random: RandomSource
}

export interface Dispatcher {
  /**
   * Resolves when the work may be sent to an upstream. Rejects with `OverloadedError`, `NoUpstreamError`,
   * `CrashingRequestError` or the signal's reason.
   */
  place: (work: DispatchWork, signal: AbortSignal) => Promise<Placement>
  /** Returns whether `placeNow` would place the work. */
  canPlaceNow: (work: DispatchWork) => boolean
  /** Places the work on an upstream that has room now. Returns undefined if there is none or if others are queued. */
  placeNow: (work: DispatchWork) => Placement | undefined
  /** Starts or rejects queued work where possible. Called on upstream state changes and about every 50 ms. */
  pump: () => void
  /** Returns the number of waiting work items. */
  size: () => number
}

interface Entry {
  work: DispatchWork
  arrivedAt: MonotonicMilliseconds
  resolve: (placement: Placement) => void
  reject: (error: unknown) => void
}

export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { queue, registry, index, gate, now } = options
  const entries = new Map<string, Entry>()
  /** Work with precedence over the queue: resumed streams and work that has already been dequeued. */
  let urgent: Entry[] = []
  /** Number of running work items by fingerprint. */
  const runningByFingerprint = new Map<string, number>()
  /** Verdicts include a started suspect only after its attempt has begun, so each pump starts at most one suspect. */
  let suspectStarted = false

  function candidatesOf (work: DispatchWork, time: MonotonicMilliseconds): readonly RoutingCandidate[] {
    const verdict = work.verdict()
    if (verdict.kind === 'suspect' && (suspectStarted || runningByFingerprint.has(work.fingerprint))) return []
    const all = registry.candidates(work.model, work.version, work.adapter, time)
      .filter((candidate) => verdict.kind !== 'suspect' || !verdict.avoid.includes(candidate.upstream))
      .filter((candidate) => work.avoid === undefined || !work.avoid.includes(candidate.upstream))
    const others = all.filter((candidate) => !work.exclude.includes(candidate.upstream))
    if (others.length > 0) return others
    const remaining = all.filter((candidate) => !work.excludeStrictly.includes(candidate.upstream))
    return remaining.length > 0 ? remaining : all
  }

  function canStart (work: DispatchWork, time: MonotonicMilliseconds): boolean {
    return candidatesOf(work, time).some((candidate) => candidate.hasCapacity)
  }

  /** Returns whether an engine may serve the version soon: no engine is known yet, or one is new, restarting or suspected. */
  function mayBecomeAvailable (time: MonotonicMilliseconds): boolean {
    const engines = registry.upstreams(time).filter((upstream) => upstream.kind === 'engine' && !upstream.leaving)
    return engines.length === 0 || engines.some((upstream) => upstream.incarnation === 0 || upstream.suspected)
  }

  function removeEntry (entry: Entry): void {
    entries.delete(entry.work.identifier)
    urgent = urgent.filter((other) => other !== entry)
  }

  function requeue (identifiers: readonly string[]): void {
    for (const identifier of identifiers) {
      const entry = entries.get(identifier)
      if (entry !== undefined) urgent.push(entry)
    }
  }

  /**
   * Starts the work unless it has to wait for another request that is computing the same prefix. Returns false if no
   * upstream has capacity.
   */
  function start (entry: Entry, time: MonotonicMilliseconds): boolean {
    const { work } = entry
    const candidates = candidatesOf(work, time)
    if (!candidates.some((candidate) => candidate.hasCapacity)) return false
    if (!work.isResumption) {
      const cached = mostCachedBlocks(work.routing, candidates, index, time)
      if (gate.register(work.identifier, work.routing.blockKeys, cached, time).wait) return true
    }
    const decision = options.choose(work.routing, candidates, index, time, options.random)
    if (decision === undefined || !options.limitOf(decision.upstream).tryAcquire()) return false
    removeEntry(entry)
    if (work.verdict().kind === 'suspect') suspectStarted = true
    entry.resolve(createPlacement(entry, decision, time))
    return true
  }

  function canPlaceNow (work: DispatchWork): boolean {
    return (work.isResumption || queue.size() === 0) && canStart(work, now())
  }

  function placeNow (work: DispatchWork): Placement | undefined {
    if (!canPlaceNow(work)) return undefined
    const time = now()
    const decision = options.choose(work.routing, candidatesOf(work, time), index, time, options.random)
    if (decision === undefined || !options.limitOf(decision.upstream).tryAcquire()) return undefined
    return createPlacement({ work, arrivedAt: time }, decision, time)
  }

  function createPlacement (entry: Pick<Entry, 'work' | 'arrivedAt'>, decision: RoutingDecision, startedAt: MonotonicMilliseconds): Placement {
    const { work: { identifier, routing, isResumption, fingerprint } } = entry
    const { upstream, incarnation, expectedBlocks } = decision
    const endpoint = registry.upstream(upstream, startedAt)?.endpoint
    if (endpoint === undefined) throw new InternalError(`upstream ${upstream} was chosen but is not registered`)
    const limit = options.limitOf(upstream)
    const blockShare = routing.blockKeys.length === 0 ? 0 : Math.min(1, expectedBlocks / routing.blockKeys.length)
    runningByFingerprint.set(fingerprint, (runningByFingerprint.get(fingerprint) ?? 0) + 1)
    registry.startWork(upstream, identifier, Math.round(routing.promptTokens * (1 - blockShare)), startedAt)
    index.recordRouted(upstream, incarnation, routing.blockKeys, startedAt)
    /** Time in milliseconds that the request waited for others on the upstream. Undefined before the first token. */
    let upstreamWait: number | undefined
    let released = false
    const settlePrefix = (): void => { if (!isResumption) requeue(gate.settle(identifier)) }
    return {
      upstream,
      endpoint,
      incarnation,
      expectedBlocks,
      queueWaitMilliseconds: startedAt - entry.arrivedAt,
      recordFirstToken (cachedTokens) {
        if (upstreamWait !== undefined) return
        const computedTokens = Math.max(0, routing.promptTokens - cachedTokens)
        const milliseconds = now() - startedAt
        upstreamWait = registry.finishPrefill(upstream, identifier, { computedTokens, milliseconds }, now())
        limit.record(upstreamWait, now())
        settlePrefix()
        pump()
      },
      releasePrefix () {
        settlePrefix()
        pump()
      },
      release (failed) {
        if (released) return
        released = true
        const remaining = (runningByFingerprint.get(fingerprint) ?? 1) - 1
        if (remaining === 0) runningByFingerprint.delete(fingerprint)
        else runningByFingerprint.set(fingerprint, remaining)
        settlePrefix()
        registry.finishWork(upstream, identifier, now())
        // If the caller disconnected before the first token, the elapsed time is a lower bound of the wait on the upstream.
        if (upstreamWait !== undefined) limit.releaseRecorded()
        else limit.release(failed ? undefined : estimateWait(upstream, routing.promptTokens, now() - startedAt), now())
        pump()
      }
    }
  }

  /** Returns the part of a time to first token, in milliseconds, that is not due to the request's own prefill. */
  function estimateWait (upstream: string, computedTokens: number, milliseconds: number): number {
    const rate = registry.upstream(upstream, now())?.prefillTokensPerSecond ?? 0
    return rate > 0 ? Math.max(0, milliseconds - computedTokens / rate * 1000) : milliseconds
  }

  function rejectEntry (entry: Entry, retryAfterMilliseconds: number): void {
    removeEntry(entry)
    requeue(gate.settle(entry.work.identifier))
    const { model, version, adapter } = entry.work
    const served = registry.candidates(model, version, adapter, now()).length > 0
    entry.reject(served
      ? new OverloadedError('the expected queue wait exceeds the limit', {
        execution: ExecutionStatus.notRun,
        retryAfterSeconds: retryAfterMilliseconds / 1000,
        reason: EndReason.queueWait
      })
      : new NoUpstreamError(`no engine serves ${model}@${version}`, {
        execution: ExecutionStatus.notRun, retryAfterSeconds: NO_UPSTREAM_RETRY_SECONDS, reason: EndReason.noUpstream
      }))
  }

  function expire (time: MonotonicMilliseconds): void {
    requeue(gate.expire(time))
    for (const work of queue.expire(time)) {
      const entry = entries.get(work.identifier)
      if (entry !== undefined) rejectEntry(entry, 1000)
    }
    for (const entry of entries.values()) {
      const verdict = entry.work.verdict()
      if (verdict.kind === 'refused') rejectCrashing(entry, verdict.retryAfterMilliseconds)
      else if (entry.work.deadline <= time) rejectEntry(entry, 1000)
    }
  }

  function rejectCrashing (entry: Entry, retryAfterMilliseconds: number): void {
    removeEntry(entry)
    queue.remove(entry.work.identifier)
    requeue(gate.settle(entry.work.identifier))
    entry.reject(new CrashingRequestError('the request crashed the upstreams that ran it', {
      execution: ExecutionStatus.notRun,
      retryAfterSeconds: retryAfterMilliseconds / 1000,
      reason: EndReason.crashing
    }))
  }

  let pumping = false
  function pump (): void {
    // Releases during a pump would otherwise start a nested pump in the middle of a decision.
    if (pumping) return
    pumping = true
    try {
      const time = now()
      expire(time)
      for (const entry of urgent.splice(0)) if (!start(entry, time)) urgent.push(entry)
      pumpQueue(time)
    } finally {
      pumping = false
      if (suspectStarted) setImmediate(pump)
      suspectStarted = false
    }
  }

  function pumpQueue (time: MonotonicMilliseconds): void {
    /** Results of `canStart` by version, for work without exclusions. They remain valid until some work starts. */
    let startableByVersion = new Map<string, boolean>()
    while (queue.size() > 0) {
      const next = queue.dequeue(time, ({ identifier }) => {
        const work = entries.get(identifier)?.work
        if (work === undefined) return true
        if (work.exclude.length > 0 || work.verdict().kind !== 'clear') return canStart(work, time)
        const key = `${work.model}@${work.version}+${work.adapter}`
        const startable = startableByVersion.get(key) ?? canStart(work, time)
        startableByVersion.set(key, startable)
        return startable
      })
      if (next === undefined) return
      const entry = entries.get(next.identifier)
      if (entry !== undefined && !start(entry, time)) urgent.push(entry)
      startableByVersion = new Map()
    }
  }

  function enqueue (entry: Entry): void {
    const { work } = entry
    const time = now()
    entries.set(work.identifier, entry)
    if (registry.candidates(work.model, work.version, work.adapter, time).length === 0 && !work.isResumption) {
      if (!mayBecomeAvailable(time)) {
        rejectEntry(entry, 0)
        return
      }
      work.deadline = Math.min(work.deadline, time + ENGINE_DISCOVERY_TIMEOUT_MS)
    }
    if (work.isResumption) {
      urgent.push(entry)
      pump()
      return
    }
    const { identifier, customer, cost, deadline } = work
    const result = queue.enqueue({ identifier, customer, cost, deadline }, time)
    if (result.queued) pump()
    else rejectEntry(entry, result.retryAfterMilliseconds)
  }

  return {
    async place (work, signal) {
      signal.throwIfAborted()
      if (entries.has(work.identifier)) throw new InternalError(`work ${work.identifier} is already queued`)
      return await new Promise<Placement>((resolve, reject) => {
        const onAbort = (): void => {
          removeEntry(entry)
          queue.remove(work.identifier)
          requeue(gate.settle(work.identifier))
          reject(signal.reason)
        }
        const entry: Entry = {
          work: { ...work },
          arrivedAt: now(),
          resolve (placement) {
            signal.removeEventListener('abort', onAbort)
            resolve(placement)
          },
          reject (error) {
            signal.removeEventListener('abort', onAbort)
            reject(error)
          }
        }
        signal.addEventListener('abort', onAbort, { once: true })
        enqueue(entry)
      })
    },
    canPlaceNow,
    placeNow,
    pump,
    size: () => entries.size
  }
}
