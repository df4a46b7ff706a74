/**
 * Places completions on engines: fair queue, concurrency limits, cold-prefix gate and routing in sequence. The rules are
 * in `src/fairness/`, `src/prefix/` and `src/upstream/registry.ts`.
 */
import { CrashingRequestError, InternalError, NoUpstreamError, OverloadedError } from '../errors'
import type { ConcurrencyLimit, FairQueue } from '../fairness/types'
import type { ColdPrefixGate } from '../prefix/coldPrefix'
import { mostCachedBlocks } from '../prefix/routing'
import type { BlockIndex, RoutingCandidate, RoutingDecision, RoutingPolicy, RoutingRequest } from '../prefix/types'
import type { CrashVerdict } from '../upstream/crashLedger'
import type { UpstreamRegistry } from '../upstream/registryTypes'
import { ExecutionStatus } from '../types'
import type { Endpoint, Incarnation, MonotonicMilliseconds, RandomSource } from '../types'

/** How long work waits for an engine to appear when none serves its version, in milliseconds. */
const APPEARANCE_WAIT_MS = 2000

/** Seconds after which a caller may try again when no engine serves its version. */
const NO_UPSTREAM_RETRY_SECONDS = 2

export interface DispatchWork {
  identifier: string
  customer: string
  model: string
  version: string
  adapter: string
  routing: RoutingRequest
  /** Tokens that the work costs in the fair queue. */
  cost: number
  deadline: MonotonicMilliseconds
  /** Upstreams that failed this request; used again only when there is no other. */
  exclude: readonly string[]
  /** Identity of the content; a suspect one runs at one upstream at a time. */
  fingerprint: string
  /** Present verdict on the fingerprint; it may change while the work waits. */
  verdict: () => CrashVerdict
  /** True for a stream that has begun: it goes before the queue and waits for its engines to come back. */
  begun: boolean
}

export interface Placement {
  upstream: string
  endpoint: Endpoint
  incarnation: Incarnation
  /** Leading blocks believed to be cached there. */
  expectedBlocks: number
  /** Milliseconds spent waiting. */
  waited: number
  /** The first token came; `cachedTokens` of the prompt were cached, as far as known. */
  firstToken: (cachedTokens: number) => void
  /** Ends the use of the place. `failed` tells that the upstream did not do what was asked. */
  release: (failed: boolean) => void
}

export interface DispatcherOptions {
  queue: FairQueue
  registry: UpstreamRegistry
  index: BlockIndex
  gate: ColdPrefixGate
  choose: RoutingPolicy
  /** Concurrency limit of an upstream. */
  limitOf: (upstream: string) => ConcurrencyLimit
  now: () => MonotonicMilliseconds
  random: RandomSource
}

export interface Dispatcher {
  /** Resolves when the work may go to an upstream. Rejects with `OverloadedError`, `NoUpstreamError` or the signal's reason. */
  place: (work: DispatchWork, signal: AbortSignal) => Promise<Placement>
  /** Starts what can start and refuses what cannot; called when an upstream's state has changed and every 50 ms or so. */
  pump: () => void
  /** Work that waits. */
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
  /** Work that goes before the queue: begun streams and work that has left the queue before. */
  let urgent: Entry[] = []
  /** Placed work by fingerprint. */
  const running = new Map<string, number>()
  /** A started suspect shows in the verdicts only after its attempt has begun, so only one starts in each pump. */
  let suspectStarted = false

  function candidatesOf (work: DispatchWork, time: MonotonicMilliseconds): readonly RoutingCandidate[] {
    const verdict = work.verdict()
    if (verdict.kind === 'suspect' && (suspectStarted || running.has(work.fingerprint))) return []
    const all = registry.candidates(work.model, work.version, work.adapter, time)
      .filter((candidate) => verdict.kind !== 'suspect' || !verdict.avoid.includes(candidate.upstream))
    const others = all.filter((candidate) => !work.exclude.includes(candidate.upstream))
    return others.length > 0 ? others : all
  }

  function canStart (work: DispatchWork, time: MonotonicMilliseconds): boolean {
    return candidatesOf(work, time).some((candidate) => candidate.hasRoom)
  }

  /** True when an engine that is listed may serve the version soon: it is new, restarting or suspected. */
  function mayAppear (time: MonotonicMilliseconds): boolean {
    const engines = registry.upstreams(time).filter((upstream) => upstream.kind === 'engine' && !upstream.leaving)
    return engines.length === 0 || engines.some((upstream) => upstream.incarnation === 0 || upstream.suspected)
  }

  function settle (entry: Entry): void {
    entries.delete(entry.work.identifier)
    urgent = urgent.filter((other) => other !== entry)
  }

  function requeue (identifiers: readonly string[]): void {
    for (const identifier of identifiers) {
      const entry = entries.get(identifier)
      if (entry !== undefined) urgent.push(entry)
    }
  }

  /** Starts the work unless it waits for another request that computes the same prefix. Returns false without room. */
  function start (entry: Entry, time: MonotonicMilliseconds): boolean {
    const { work } = entry
    const candidates = candidatesOf(work, time)
    if (!candidates.some((candidate) => candidate.hasRoom)) return false
    if (!work.begun) {
      const cached = mostCachedBlocks(work.routing, candidates, index, time)
      if (gate.arrive(work.identifier, work.routing.blockKeys, cached, time).wait) return true
    }
    const decision = options.choose(work.routing, candidates, index, time, options.random)
    if (decision === undefined || !options.limitOf(decision.upstream).tryAcquire()) return false
    settle(entry)
    if (work.verdict().kind === 'suspect') suspectStarted = true
    entry.resolve(placementOf(entry, decision, time))
    return true
  }

  function placementOf (entry: Entry, decision: RoutingDecision, startedAt: MonotonicMilliseconds): Placement {
    const { work: { identifier, routing, begun, fingerprint } } = entry
    const { upstream, incarnation, expectedBlocks } = decision
    const endpoint = registry.upstream(upstream, startedAt)?.endpoint
    if (endpoint === undefined) throw new InternalError(`upstream ${upstream} was chosen but is not registered`)
    const limit = options.limitOf(upstream)
    const blockShare = routing.blockKeys.length === 0 ? 0 : Math.min(1, expectedBlocks / routing.blockKeys.length)
    running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1)
    registry.startWork(upstream, identifier, Math.round(routing.promptTokens * (1 - blockShare)), startedAt)
    index.recordRouted(upstream, incarnation, routing.blockKeys, startedAt)
    /** Milliseconds that the request waited for others at the upstream; undefined before the first token. */
    let waited: number | undefined
    let released = false
    const endComputing = (): void => { if (!begun) requeue(gate.settle(identifier)) }
    return {
      upstream,
      endpoint,
      incarnation,
      expectedBlocks,
      waited: startedAt - entry.arrivedAt,
      firstToken (cachedTokens) {
        if (waited !== undefined) return
        const computedTokens = Math.max(0, routing.promptTokens - cachedTokens)
        const milliseconds = now() - startedAt
        waited = registry.finishPrefill(upstream, identifier, { computedTokens, milliseconds }, now())
        limit.record(waited, now())
        endComputing()
        pump()
      },
      release (failed) {
        if (released) return
        released = true
        const left = (running.get(fingerprint) ?? 1) - 1
        if (left === 0) running.delete(fingerprint)
        else running.set(fingerprint, left)
        endComputing()
        registry.finishWork(upstream, identifier, now())
        // A caller that left before the first token tells at least how long its request has waited.
        if (waited !== undefined) limit.releaseRecorded()
        else limit.release(failed ? undefined : waitOf(upstream, routing.promptTokens, now() - startedAt), now())
        pump()
      }
    }
  }

  /** Milliseconds of a time to first token that the request's own prefill does not account for. */
  function waitOf (upstream: string, computedTokens: number, milliseconds: number): number {
    const rate = registry.upstream(upstream, now())?.prefillTokensPerSecond ?? 0
    return rate > 0 ? Math.max(0, milliseconds - computedTokens / rate * 1000) : milliseconds
  }

  function refuse (entry: Entry, retryAfterMilliseconds: number): void {
    settle(entry)
    requeue(gate.settle(entry.work.identifier))
    const { model, version, adapter } = entry.work
    const served = registry.candidates(model, version, adapter, now()).length > 0
    entry.reject(served
      ? new OverloadedError('the expected wait exceeds the limit', {
        execution: ExecutionStatus.notRun, retryAfterSeconds: retryAfterMilliseconds / 1000
      })
      : new NoUpstreamError(`no engine serves ${model}@${version}`, {
        execution: ExecutionStatus.notRun, retryAfterSeconds: NO_UPSTREAM_RETRY_SECONDS
      }))
  }

  function expire (time: MonotonicMilliseconds): void {
    requeue(gate.expire(time))
    for (const work of queue.expire(time)) {
      const entry = entries.get(work.identifier)
      if (entry !== undefined) refuse(entry, 1000)
    }
    for (const entry of entries.values()) {
      const verdict = entry.work.verdict()
      if (verdict.kind === 'refused') refuseCrashing(entry, verdict.retryAfterMilliseconds)
      else if (entry.work.deadline <= time) refuse(entry, 1000)
    }
  }

  function refuseCrashing (entry: Entry, retryAfterMilliseconds: number): void {
    settle(entry)
    queue.remove(entry.work.identifier)
    requeue(gate.settle(entry.work.identifier))
    entry.reject(new CrashingRequestError('the request brought down the upstreams that ran it', {
      execution: ExecutionStatus.notRun, retryAfterSeconds: retryAfterMilliseconds / 1000
    }))
  }

  let pumping = false
  function pump (): void {
    // Releases inside of a pump would start another one in the middle of a decision.
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
    /** Work of one version without exclusions has the same answer until something starts. */
    let known = new Map<string, boolean>()
    while (queue.size() > 0) {
      const next = queue.dequeue(time, ({ identifier }) => {
        const work = entries.get(identifier)?.work
        if (work === undefined) return true
        if (work.exclude.length > 0 || work.verdict().kind !== 'clear') return canStart(work, time)
        const key = `${work.model}@${work.version}+${work.adapter}`
        const answer = known.get(key) ?? canStart(work, time)
        known.set(key, answer)
        return answer
      })
      if (next === undefined) return
      const entry = entries.get(next.identifier)
      if (entry !== undefined && !start(entry, time)) urgent.push(entry)
      known = new Map()
    }
  }

  function enqueue (entry: Entry): void {
    const { work } = entry
    const time = now()
    entries.set(work.identifier, entry)
    if (registry.candidates(work.model, work.version, work.adapter, time).length === 0 && !work.begun) {
      if (!mayAppear(time)) {
        refuse(entry, 0)
        return
      }
      work.deadline = Math.min(work.deadline, time + APPEARANCE_WAIT_MS)
    }
    if (work.begun) {
      urgent.push(entry)
      pump()
      return
    }
    const { identifier, customer, cost, deadline } = work
    const result = queue.enqueue({ identifier, customer, cost, deadline }, time)
    if (result.queued) pump()
    else refuse(entry, result.retryAfterMilliseconds)
  }

  return {
    async place (work, signal) {
      signal.throwIfAborted()
      if (entries.has(work.identifier)) throw new InternalError(`work ${work.identifier} waits already`)
      return await new Promise<Placement>((resolve, reject) => {
        const leave = (): void => {
          settle(entry)
          queue.remove(work.identifier)
          requeue(gate.settle(work.identifier))
          reject(signal.reason)
        }
        const entry: Entry = {
          work: { ...work },
          arrivedAt: now(),
          resolve (placement) {
            signal.removeEventListener('abort', leave)
            resolve(placement)
          },
          reject (error) {
            signal.removeEventListener('abort', leave)
            reject(error)
          }
        }
        signal.addEventListener('abort', leave, { once: true })
        enqueue(entry)
      })
    },
    pump,
    size: () => entries.size
  }
}
