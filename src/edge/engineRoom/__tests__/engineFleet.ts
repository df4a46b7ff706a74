/**
 * Simulates engines and the instances that place prompts at them, without a network.
 *
 * An engine begins a prompt when it has a slot and memory for it, processes one prompt after another, and then produces
 * its output in steps. It turns requests away when three times its slots wait. Instances know the load of the fleet with
 * a lag.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createEntry } from '../../__tests__/fixtures'
import {
  createUpstreamDirectory, recordActivity, recordAttemptEnd, recordAttemptStart, recordFleetLoad, type Upstream,
  type UpstreamDirectory
} from '../../upstreamDirectory'
import { heldTokensOf, NO_USE, recordFleetUse, recordUseStart, sumUses, type EngineUse } from '../engineUse'

export interface EngineModel {
  name: string
  dataCentre: string
  /** Milliseconds for 1,000 prompt tokens that are not cached. */
  speed: number
  slots: number
  memoryTokens: number
}

export interface SimulatedRequest {
  prefix: string
  promptTokens: number
  sharedTokens: number
  outputTokens: number
}

/** Placement of a request by an instance, as the simulation needs it. */
export interface SimulatedPlacement {
  upstream: Upstream
  isHolder: boolean
  /** Called with the milliseconds from sending the request to its first byte. */
  onFirstByte?: (wait: number, now: number) => void
}

export interface SimulatedInstance {
  directory: UpstreamDirectory
  index: number
}

export interface FleetResult {
  /** Milliseconds to the first byte of each request that an engine began, in order of arrival. */
  waits: number[]
  turnedAway: number
  /** Requests whose prefix was not in the cache of their engine. */
  misses: number
  /** Requests that found no slot or memory at their engine when they arrived. */
  withoutRoom: number
  sentTo: Map<string, number>
}

/** Milliseconds of a step that produces one output token of each running request. */
const STEP_MS = 8
/** Milliseconds between snapshots of the load of the fleet. */
const SNAPSHOT_MS = 10
/** Prefixes that an engine caches. */
const CACHED_PREFIXES = 14

/** Returns a deterministic generator of numbers in [0, 1). */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

interface RunningEngine extends EngineModel {
  /** When the prompts that were begun are processed. */
  freeAt: number
  running: number
  usedTokens: number
  queue: Array<() => void>
  cached: string[]
  use: EngineUse
  pendingTokens: number
}

export interface FleetOptions {
  engines: readonly EngineModel[]
  instances: number
  /** Milliseconds until each instance knows the load of all. */
  lag: number
  duration: number
  /** Milliseconds to the next request. */
  nextArrival: (random: () => number, now: number) => number
  createRequest: (random: () => number, now: number) => SimulatedRequest
  /** Undefined if the request is refused. */
  place: (
    instance: SimulatedInstance, request: SimulatedRequest, random: () => number, now: number
  ) => SimulatedPlacement | undefined
  seed?: number
  /** Milliseconds after which each engine has lost its cache, because it has loaded new weights. */
  cacheLossInterval?: number
}

export function simulateFleet (options: FleetOptions): FleetResult {
  const random = createRandom(options.seed ?? 21)
  const entries = options.engines.map(({ name, dataCentre, slots }) => createEntry(name, { dataCentre, slots }))
  const instances = Array.from({ length: options.instances }, (_, index): SimulatedInstance => {
    const directory = createUpstreamDirectory()
    directory.replace(entries, false, 0)
    return { directory, index }
  })
  const engines = new Map(options.engines.map((engine): [string, RunningEngine] => [engine.name, {
    ...engine, freeAt: 0, running: 0, usedTokens: 0, queue: [], cached: [], use: NO_USE, pendingTokens: 0
  }]))
  const result: FleetResult = { waits: [], turnedAway: 0, misses: 0, withoutRoom: 0, sentTo: new Map() }
  const events: Array<{ at: number, run: (now: number) => void }> = []
  const snapshots: Array<{ at: number, uses: Map<string, EngineUse>, pending: Map<string, number> }> = []

  function schedule (at: number, run: (now: number) => void): void {
    let position = events.length
    while (position > 0 && events[position - 1]!.at < at) position -= 1
    events.splice(position, 0, { at, run })
  }

  function beginWaiting (engine: RunningEngine): void {
    for (let next = engine.queue.shift(); next !== undefined; next = engine.queue.shift()) {
      const count = engine.queue.length
      next()
      if (engine.queue.length > count) return
    }
  }

  function send (
    request: SimulatedRequest, { upstream, isHolder, onFirstByte }: SimulatedPlacement, now: number
  ): void {
    const engine = engines.get(upstream.entry.identifier)!
    const held = heldTokensOf(request.promptTokens, request.outputTokens)
    if (engine.queue.length >= engine.slots * 3) {
      result.turnedAway += 1
      return
    }
    const own = request.promptTokens - request.sharedTokens
    const uncached = isHolder ? own : request.promptTokens
    result.sentTo.set(engine.name, (result.sentTo.get(engine.name) ?? 0) + 1)
    recordAttemptStart(upstream, request.promptTokens, now)
    recordUseStart(upstream, uncached, held)
    engine.use = sumUses(engine.use, { prefillTokens: uncached, heldTokens: held, requests: 1 })
    engine.pendingTokens += request.promptTokens
    const position = result.waits.push(Infinity) - 1

    function begin (present: number): void {
      if (engine.running >= engine.slots || engine.usedTokens + held > engine.memoryTokens) {
        engine.queue.unshift(() => { begin(currentTime) })
        return
      }
      engine.running += 1
      engine.usedTokens += held
      const isCached = engine.cached.includes(request.prefix)
      if (!isCached) result.misses += 1
      const others = engine.cached.filter((prefix) => prefix !== request.prefix)
      engine.cached = [...others, request.prefix].slice(-CACHED_PREFIXES)
      const tokens = isCached ? own : request.promptTokens
      engine.freeAt = Math.max(present, engine.freeAt) + tokens / 1000 * engine.speed
      schedule(engine.freeAt, finishPrompt)
    }

    function finishPrompt (present: number): void {
      upstream.pendingPrefillTokens -= request.promptTokens
      upstream.pendingUncachedTokens -= uncached
      engine.use = sumUses(engine.use, { prefillTokens: -uncached, heldTokens: 0, requests: 0 })
      engine.pendingTokens -= request.promptTokens
      result.waits[position] = present - now
      onFirstByte?.(present - now, present)
      schedule(present + request.outputTokens * STEP_MS, end)
    }

    function end (): void {
      recordAttemptEnd(upstream)
      upstream.heldTokens -= held
      engine.use = sumUses(engine.use, { prefillTokens: 0, heldTokens: -held, requests: -1 })
      engine.running -= 1
      engine.usedTokens -= held
      beginWaiting(engine)
    }

    const hasRoom = engine.running < engine.slots && engine.usedTokens + held <= engine.memoryTokens
    if (!hasRoom || engine.queue.length > 0) result.withoutRoom += 1
    if (engine.queue.length > 0) engine.queue.push(() => { begin(currentTime) })
    else begin(now)
  }

  function takeSnapshot (now: number): void {
    snapshots.push({
      at: now,
      uses: new Map([...engines].map(([name, { use }]) => [name, use])),
      pending: new Map([...engines].map(([name, { pendingTokens }]) => [name, pendingTokens]))
    })
    if (snapshots.length > 100) snapshots.shift()
    if (now < options.duration) schedule(now + SNAPSHOT_MS, takeSnapshot)
  }

  function arrive (now: number): void {
    const instance = instances[Math.floor(random() * instances.length)]!
    const known = snapshots.findLast(({ at }) => at <= now - options.lag)
    for (const upstream of instance.directory.all()) {
      const name = upstream.entry.identifier
      recordFleetLoad(upstream, known?.pending.get(name) ?? 0, now)
      recordFleetUse(upstream, known?.uses.get(name) ?? NO_USE)
      // Engines with a queue show by their events and by liveness checks that they are alive.
      recordActivity(upstream, now)
    }
    const request = options.createRequest(random, now)
    const placement = options.place(instance, request, random, now)
    if (placement !== undefined) send(request, placement, now)
    const next = now + options.nextArrival(random, now)
    if (next < options.duration) schedule(next, arrive)
  }

  let currentTime = 0
  function loseCache (now: number): void {
    const position = Math.floor(now / options.cacheLossInterval! * engines.size) % engines.size
    ;[...engines.values()][position]!.cached = []
    const next = now + options.cacheLossInterval! / engines.size
    if (next < options.duration) schedule(next, loseCache)
  }

  if (options.cacheLossInterval !== undefined) schedule(0, loseCache)
  schedule(0, takeSnapshot)
  schedule(options.nextArrival(random, 0), arrive)
  for (let event = events.pop(); event !== undefined; event = events.pop()) {
    currentTime = event.at
    event.run(event.at)
  }
  return result
}

/** Returns the value below which this share of the values lies. */
export function quantile (values: readonly number[], share: number): number {
  return [...values].sort((one, other) => one - other)[Math.min(values.length - 1, Math.floor(values.length * share))]!
}
