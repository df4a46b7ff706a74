/** Model of one router instance: the shipped decision modules, fed by polls that arrive late. */
import { createConcurrencyLimit } from '../../src/fairness/concurrencyLimit'
import { createFairQueue } from '../../src/fairness/fairQueue'
import type { ConcurrencyLimit } from '../../src/fairness/types'
import { createColdPrefixGate } from '../../src/prefix/coldPrefix'
import { BLOCK_TOKENS, mostCachedBlocks } from '../../src/prefix/routing'
import type { RoutingDecision } from '../../src/prefix/types'
import type { ListedInstance, RandomSource } from '../../src/types'
import { createUpstreamRegistry } from '../../src/upstream/registry'
import type { Engine } from './engine'
import type { Figures } from './figures'
import type { PolicyDefinition } from './policies'
import type { Scenario } from './scenarios'
import type { Simulation } from './simulation'
import type { Arrival } from './workload'

const EVENT_POLL_MS = 250
const REPORT_POLL_MS = 500
const REPORT_LAG_MS = 50
const HEARTBEAT_MS = 1000
const QUEUE_CHECK_MS = 50
/** How long a caller waits for the first token before the request counts as refused. */
const PATIENCE_MS = 10_000
const RETRY_PAUSE_MS = 100
/** Wait for others above the lowest recent one at which a concurrency limit decreases, in milliseconds. */
const LIMIT_SLACK_MS = 300

export interface RouterOptions {
  name: string
  dataCentre: string
  remoteMilliseconds: number
  policy: PolicyDefinition
  scenario: Scenario
  engines: readonly Engine[]
  figures: Figures
  random: RandomSource
  /** Sends the heartbeat to the other routers. */
  announce: (router: string, work: Readonly<Record<string, number>>) => void
}

export interface Router {
  handle: (arrival: Arrival) => void
  hearPeer: (peer: string, work: Readonly<Record<string, number>>) => void
  /** Ends polling; work in flight goes on. */
  stop: () => void
}

interface Request {
  identifier: string
  arrival: Arrival
  deadline: number
  attempt: number
}

export function createRouter (simulation: Simulation, options: RouterOptions): Router {
  const { policy, engines, figures, random } = options
  const { now } = simulation
  const index = policy.createIndex(engines, now)
  const choose = policy.createChoice()
  const gate = createColdPrefixGate()
  const queue = createFairQueue()
  const limits = new Map<string, ConcurrencyLimit>(
    engines.map(({ name }) => [name, createConcurrencyLimit({ slack: LIMIT_SLACK_MS })]))
  const byName = new Map(engines.map(engine => [engine.name, engine]))
  const requests = new Map<string, Request>()
  /** Incarnations of the engines at the last poll of their event streams. */
  const streamIncarnations = new Map<string, number>()
  let stopped = false
  let nextIdentifier = 0

  const registry = createUpstreamRegistry({
    dataCentre: options.dataCentre,
    hasRoom (upstream) {
      const limit = limits.get(upstream)!
      return !policy.fairness || limit.inFlight() < limit.limit()
    },
    onEvent (event) {
      if (event.kind === 'lost') index.dropUpstream(event.upstream)
    }
  })
  const candidates = () => registry.candidates('model', '1', '', now())

  function every (interval: number, action: () => void): void {
    const repeat = (): void => {
      if (stopped) return
      action()
      simulation.after(interval, repeat)
    }
    simulation.after(random() * interval, repeat)
  }

  function pollEvents (engine: Engine): void {
    if (!engine.isAlive()) return
    let batch = engine.cacheEvents(index.newestSequence(engine.name))
    if (batch.incarnation !== streamIncarnations.get(engine.name)) batch = engine.cacheEvents(0)
    streamIncarnations.set(engine.name, batch.incarnation)
    if (batch.events.length > 0 && random() < options.scenario.eventLoss) {
      batch = { ...batch, events: batch.events.slice(Math.ceil(random() * batch.events.length)) }
    }
    simulation.after(options.scenario.eventLag, () => index.applyEvents(engine.name, batch, now()))
  }

  function pollReport (engine: Engine): void {
    if (!engine.isAlive()) {
      registry.recordFailure(engine.name, now())
      return
    }
    const report = engine.report()
    simulation.after(REPORT_LAG_MS, () => registry.applyReport(engine.name, report, now()))
  }

  function refuse (request: Request): void {
    requests.delete(request.identifier)
    figures.refused(request.arrival)
  }

  /** Takes work from the fair queue while some upstream has room. */
  function pump (): void {
    for (const { identifier } of queue.expire(now())) refuse(requests.get(identifier)!)
    while (queue.size() > 0 && candidates().some(({ hasCapacity }) => hasCapacity)) {
      const work = queue.dequeue(now())
      if (work === undefined) break
      admit(requests.get(work.identifier)!)
    }
  }

  /** Passes the gate for cold prefixes, then routes. */
  function admit (request: Request): void {
    if (policy.gate) {
      const { arrival: { blockKeys, promptTokens }, identifier } = request
      const cached = mostCachedBlocks({ blockKeys, promptTokens }, candidates(), index, now())
      if (gate.register(identifier, blockKeys, cached, now()).wait) return
    }
    route(request)
  }

  function settle (request: Request): void {
    if (!policy.gate) return
    for (const identifier of gate.settle(request.identifier)) admit(requests.get(identifier)!)
  }

  function route (request: Request): void {
    if (now() > request.deadline) {
      settle(request)
      refuse(request)
      return
    }
    const decision = choose(request.arrival, candidates(), index, now(), random)
    if (decision === undefined) simulation.after(RETRY_PAUSE_MS, () => route(request))
    else dispatch(request, decision)
  }

  function dispatch (request: Request, decision: RoutingDecision): void {
    const { arrival } = request
    const { upstream, incarnation, expectedBlocks } = decision
    const engine = byName.get(upstream)!
    const limit = limits.get(upstream)!
    const identifier = `${request.identifier}/${++request.attempt}`
    const sentAt = now()
    const computed = Math.max(0, arrival.promptTokens - expectedBlocks * BLOCK_TOKENS)
    const remote = engine.dataCentre === options.dataCentre ? 0 : options.remoteMilliseconds
    /** Milliseconds waited for others; undefined until the first token. */
    let waited: number | undefined
    let cached = 0
    limit.tryAcquire()
    registry.startWork(upstream, identifier, computed, sentAt)
    index.recordRouted(upstream, incarnation, arrival.blockKeys, sentAt)

    const finish = (): void => {
      registry.finishWork(upstream, identifier, now())
      limit.release(waited, now())
      if (policy.fairness) pump()
    }
    const fail = (): void => {
      registry.recordFailure(upstream, now())
      finish()
      if (waited !== undefined) return
      settle(request)
      simulation.after(0, () => admit(request))
    }
    simulation.after(remote, () => {
      const accepted = engine.submit({
        blockKeys: arrival.blockKeys,
        promptTokens: arrival.promptTokens,
        outputTokens: arrival.outputTokens,
        onFirstToken (cachedTokens) {
          cached = cachedTokens
          const outcome = { computedTokens: arrival.promptTokens - cachedTokens, milliseconds: now() - sentAt }
          waited = registry.finishPrefill(upstream, identifier, outcome, now())
          requests.delete(request.identifier)
          figures.firstToken(arrival, now() + remote - arrival.time, cachedTokens)
          settle(request)
        },
        onEnd () {
          index.recordOutcome(upstream, arrival.blockKeys, Math.floor(cached / BLOCK_TOKENS), now())
          finish()
        },
        onFailure: fail
      })
      if (!accepted) fail()
    })
  }

  registry.applyList(engines.map(({ name, dataCentre }): ListedInstance => ({
    name, dataCentre, kind: 'engine', endpoint: { host: '127.0.0.1', port: 1 }, state: 'live'
  })), 0, now())
  for (const engine of engines) {
    pollReport(engine)
    every(REPORT_POLL_MS, () => pollReport(engine))
    if (policy.events) every(EVENT_POLL_MS, () => pollEvents(engine))
  }
  every(HEARTBEAT_MS, () => options.announce(options.name, registry.ownWork()))
  every(QUEUE_CHECK_MS, () => {
    for (const identifier of gate.expire(now())) admit(requests.get(identifier)!)
    pump()
  })

  return {
    handle (arrival) {
      const identifier = `${options.name}-${nextIdentifier++}`
      const request = { identifier, arrival, deadline: now() + PATIENCE_MS, attempt: 0 }
      requests.set(identifier, request)
      if (!policy.fairness) {
        admit(request)
        return
      }
      const cost = arrival.promptTokens + arrival.outputTokens
      const result = queue.enqueue({ identifier, customer: arrival.customer, cost, deadline: request.deadline }, now())
      if (result.queued) pump()
      else refuse(request)
    },
    hearPeer: (peer, work) => registry.applyPeerWork(peer, work, now()),
    stop () {
      stopped = true
    }
  }
}
