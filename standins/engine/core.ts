/** State of one engine process: scheduler, cache, weights, faults and journal. */
import { performance } from 'node:perf_hooks'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { EXECUTION_HEADER, INCARNATION_HEADER, LEAVING_HEADER } from '../../src/constants'
import type { EngineReport } from '../../src/upstream/types'
import { createJournal } from '../journal'
import type { Journal } from '../journal'
import { createBlockCache } from './blockCache'
import type { BlockCache, BlockOwner, CachedBlock } from './blockCache'
import type { RunningCompletions } from './completion'
import { createEngineFaults } from './faults'
import type { EngineFaults } from './faults'
import { createScheduler } from './scheduler'
import type { Scheduler } from './scheduler'
import { createWeights } from './weights'
import type { Weights } from './weights'

export interface EngineOptions {
  /** Port on 127.0.0.1; 0 lets the system choose. @default 0 */
  port?: number
  /** Loaded versions as `model@version`. @default ['model@v1'] */
  loaded?: readonly string[]
  /** @default 8000 */
  prefillTokensPerSecond?: number
  /** @default 50 */
  decodeTokensPerSecond?: number
  /** Sequences in decode at the same time. @default 16 */
  slots?: number
  /** Requests that may wait; more are refused. @default 1000 */
  maximumWaiting?: number
  /** Blocks in the prefix cache. @default 1000 */
  blocks?: number
  /** Tokens after which a completion ends by itself. @default Infinity */
  naturalTokens?: number
  /** URL of the platform stand-in. @default undefined */
  platform?: string
  /** Milliseconds of a load when no platform is given. @default 1000 */
  loadMilliseconds?: number
  /** Milliseconds to import one block. @default 1 */
  importMilliseconds?: number
  /** File to which the journal is appended. @default undefined */
  journalFile?: string
  /** @default wall clock at start */
  incarnation?: number
  /** Seed of the faults that occur with a probability. @default 1 */
  seed?: number
  /** Ends the process; tests in the same process close the connections instead. @default close the server */
  onCrash?: () => void
}

/** A cached block was used for another customer or version than it was computed for. */
export interface CacheMisuse {
  block: CachedBlock
  user: BlockOwner
}

export interface EngineCore {
  incarnation: number
  leaving: boolean
  naturalTokens: number
  maximumWaiting: number
  /** Prompt tokens that were computed, not taken from the cache. */
  computedTokens: number
  faults: EngineFaults
  random: () => number
  scheduler: Scheduler
  cache: BlockCache
  weights: Weights
  journal: Journal
  running: RunningCompletions
  /** Accepted requests by `model@version`. */
  requestCounts: Map<string, number>
  misuses: CacheMisuse[]
  crash: () => void
  refusalHeaders: () => Record<string, string>
  /** The report as others see it, with its lag. */
  report: () => EngineReport
}

/** Creates the state of a freshly started engine. */
export function createEngineCore (options: EngineOptions): EngineCore {
  const faults = createEngineFaults()
  const generator = xoroshiro128plus(options.seed ?? 1)
  const random = (): number => uniformFloat64(generator)
  const now = (): number => performance.now()
  const incarnation = options.incarnation ?? Date.now()
  const prefillTokensPerSecond = options.prefillTokensPerSecond ?? 8000
  const misuses: CacheMisuse[] = []
  const cache = createBlockCache({
    capacity: options.blocks ?? 1000,
    incarnation,
    now,
    random,
    eventLag: () => faults.eventLag,
    eventLoss: () => faults.eventLoss,
    onMisuse: (block, user) => { misuses.push({ block, user }) }
  })
  const scheduler = createScheduler({
    prefillTokensPerSecond,
    decodeTokensPerSecond: options.decodeTokensPerSecond ?? 50,
    slots: options.slots ?? 16,
    now
  })
  const weights = createWeights({
    ...(options.platform === undefined ? {} : { platform: options.platform }),
    loadMilliseconds: options.loadMilliseconds ?? 1000,
    loaded: options.loaded ?? ['model@v1'],
    faults,
    onUnload: (model, version) => cache.dropVersion(model, version)
  })

  function takeReport (): EngineReport {
    return {
      incarnation,
      leaving: core.leaving,
      loaded: weights.loaded(),
      running: scheduler.running(),
      waiting: scheduler.waiting(),
      waitingTokens: scheduler.waitingTokens(),
      prefillTokensPerSecond: prefillTokensPerSecond / faults.slowFactor
    }
  }

  let lagging: { at: number, report: EngineReport } | undefined
  const core: EngineCore = {
    incarnation,
    leaving: false,
    naturalTokens: options.naturalTokens ?? Infinity,
    maximumWaiting: options.maximumWaiting ?? 1000,
    computedTokens: 0,
    faults,
    random,
    scheduler,
    cache,
    weights,
    journal: createJournal(options.journalFile),
    running: new Map(),
    requestCounts: new Map(),
    misuses,
    crash: options.onCrash ?? (() => undefined),
    refusalHeaders: () => ({
      [EXECUTION_HEADER]: 'not_run',
      [INCARNATION_HEADER]: String(incarnation),
      ...(core.leaving ? { [LEAVING_HEADER]: 'true' } : {})
    }),
    report () {
      if (lagging === undefined || now() - lagging.at >= faults.reportLag) lagging = { at: now(), report: takeReport() }
      return lagging.report
    }
  }
  return core
}
