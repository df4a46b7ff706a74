/**
 * Model of an engine: serial prefill in order of arrival, continuous decoding in a bounded batch, an LRU cache of blocks
 * with an event stream, reports, and crashes after which it returns empty with a new incarnation.
 */
import { BLOCK_TOKENS } from '../../src/prefix/routing'
import type { Incarnation } from '../../src/types'
import type { CacheEvent, CacheEventBatch, EngineReport } from '../../src/upstream/types'
import type { Simulation } from './simulation'

/** Fixed cost of a prefill in milliseconds, also when everything is cached. */
const PREFILL_OVERHEAD_MS = 8
/** Milliseconds for one output token in an empty batch. */
const TOKEN_MS = 15
/** Events kept for pollers. */
const EVENT_LOG_LIMIT = 4000

export interface EngineOptions {
  name: string
  dataCentre: string
  /** Tokens per second in an empty batch. */
  prefillTokensPerSecond: number
  cacheBlocks: number
  /** Requests that decode at the same time; prefill waits while the batch is full. */
  batchSize: number
  version: string
  /** Told for each block that is computed. */
  onComputed: (blockKey: string, engine: Engine) => void
}

export interface EngineWork {
  blockKeys: readonly string[]
  promptTokens: number
  outputTokens: number
  onFirstToken: (cachedTokens: number) => void
  onEnd: () => void
  onFailure: () => void
}

export interface Engine {
  name: string
  dataCentre: string
  incarnation: () => Incarnation
  isAlive: () => boolean
  /** False when the connection is refused because the engine is down. */
  submit: (work: EngineWork) => boolean
  crash: (downMilliseconds: number) => void
  report: () => EngineReport
  cacheEvents: (afterSequence: number) => CacheEventBatch
  holds: (blockKey: string) => boolean
  /** True when the block is cached or will be, once the waiting work has been computed. */
  willHold: (blockKey: string) => boolean
  cachedKeys: () => Iterable<string>
}

export function createEngine (simulation: Simulation, options: EngineOptions): Engine {
  let incarnation: Incarnation = 1
  let alive = true
  let queue: EngineWork[] = []
  let prefilling: EngineWork | undefined
  const decoding = new Set<EngineWork>()
  const cache = new Set<string>()
  const expected = new Map<string, number>()
  let events: CacheEvent[] = []
  let sequence = 0

  const slowdown = (): number => 1 + decoding.size / 64

  function publish (kind: CacheEvent['kind'], blockKeys: string[]): void {
    if (blockKeys.length === 0) return
    events.push({ sequence: ++sequence, kind, blockKeys })
    if (events.length > EVENT_LOG_LIMIT) events = events.slice(EVENT_LOG_LIMIT / 4)
  }

  function cachedBlocks (blockKeys: readonly string[]): number {
    let blocks = 0
    while (blocks < blockKeys.length && cache.has(blockKeys[blocks]!)) blocks++
    return blocks
  }

  function expect (blockKeys: readonly string[], change: number): void {
    for (const key of blockKeys) {
      const count = (expected.get(key) ?? 0) + change
      if (count > 0) expected.set(key, count)
      else expected.delete(key)
    }
  }

  function touch (blockKey: string): void {
    cache.delete(blockKey)
    cache.add(blockKey)
  }

  function startNext (): void {
    if (prefilling !== undefined || decoding.size >= options.batchSize) return
    const work = queue.shift()
    if (work === undefined) return
    prefilling = work
    const cached = cachedBlocks(work.blockKeys)
    // Children are touched before parents, so that a prefix stays longer than what extends it.
    for (let position = cached - 1; position >= 0; position--) touch(work.blockKeys[position]!)
    const computed = Math.max(1, work.promptTokens - cached * BLOCK_TOKENS)
    const duration = PREFILL_OVERHEAD_MS + computed * 1000 * slowdown() / options.prefillTokensPerSecond
    const started = incarnation
    for (const key of work.blockKeys.slice(cached)) options.onComputed(key, engine)
    simulation.after(duration, () => {
      if (started === incarnation && alive) finishPrefill(work, cached)
    })
  }

  function finishPrefill (work: EngineWork, cached: number): void {
    prefilling = undefined
    expect(work.blockKeys, -1)
    const stored = work.blockKeys.filter(key => !cache.has(key))
    for (let position = work.blockKeys.length - 1; position >= 0; position--) touch(work.blockKeys[position]!)
    const evicted: string[] = []
    for (const key of cache) {
      if (cache.size <= options.cacheBlocks) break
      cache.delete(key)
      evicted.push(key)
    }
    publish('stored', stored)
    publish('evicted', evicted)
    decoding.add(work)
    const started = incarnation
    simulation.after(work.outputTokens * TOKEN_MS * slowdown(), () => {
      if (started !== incarnation || !alive) return
      decoding.delete(work)
      work.onEnd()
      startNext()
    })
    work.onFirstToken(Math.min(work.promptTokens, cached * BLOCK_TOKENS))
    startNext()
  }

  const engine: Engine = {
    name: options.name,
    dataCentre: options.dataCentre,
    incarnation: () => incarnation,
    isAlive: () => alive,
    submit (work) {
      if (!alive) return false
      queue.push(work)
      expect(work.blockKeys, 1)
      startNext()
      return true
    },
    crash (downMilliseconds) {
      if (!alive) return
      alive = false
      const lost = [...queue, ...decoding, ...(prefilling === undefined ? [] : [prefilling])]
      queue = []
      prefilling = undefined
      decoding.clear()
      cache.clear()
      expected.clear()
      events = []
      sequence = 0
      for (const work of lost) work.onFailure()
      simulation.after(downMilliseconds, () => {
        incarnation = Math.max(incarnation + 1, Math.floor(simulation.now()))
        alive = true
      })
    },
    report () {
      const waiting = prefilling === undefined ? queue : [prefilling, ...queue]
      return {
        incarnation,
        leaving: false,
        loaded: [`model@${options.version}`],
        running: decoding.size,
        waiting: queue.length,
        waitingTokens: waiting.reduce(
          (sum, work) => sum + work.promptTokens - cachedBlocks(work.blockKeys) * BLOCK_TOKENS, 0),
        prefillTokensPerSecond: options.prefillTokensPerSecond / slowdown()
      }
    },
    cacheEvents: afterSequence => ({
      incarnation,
      newestSequence: sequence,
      events: events.slice(Math.max(0, afterSequence + 1 - (events[0]?.sequence ?? 0)))
    }),
    holds: blockKey => cache.has(blockKey),
    willHold: blockKey => cache.has(blockKey) || expected.has(blockKey),
    cachedKeys: () => cache.keys()
  }
  return engine
}
