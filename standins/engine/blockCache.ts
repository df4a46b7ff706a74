/** Prefix cache of the engine stand-in: LRU over block keys, separated by cache salt, with an event log. */
import type { CacheEvent, CacheEventBatch } from '../../src/upstream/types'

/** Events kept for readers; older ones show as a gap. */
const EVENT_LOG_LENGTH = 20_000
/** Events in one answer. */
const EVENT_BATCH_LENGTH = 1000

/** What a block was computed for. */
export interface BlockOwner {
  salt: string
  model: string
  version: string
  adapter: string
}

export interface CachedBlock extends BlockOwner {
  blockKey: string
}

export interface BlockCacheOptions {
  /** Blocks that fit into memory. */
  capacity: number
  incarnation: number
  /** Milliseconds of a monotonic clock. */
  now: () => number
  /** Milliseconds after which an event becomes visible. */
  eventLag: () => number
  /** Probability with which an event is lost. */
  eventLoss: () => number
  random: () => number
  /** Called when a block is used for another version or salt than it was computed for. */
  onMisuse: (block: CachedBlock, user: BlockOwner) => void
}

export interface BlockCache {
  /** Number of leading blocks in the cache; marks them as used. */
  match: (user: BlockOwner, blockKeys: readonly string[]) => number
  /** Stores blocks and evicts the least recently used ones beyond the capacity. */
  store: (owner: BlockOwner, blockKeys: readonly string[]) => void
  /** Blocks with these keys, of every salt. */
  find: (blockKeys: readonly string[]) => CachedBlock[]
  /** Drops the blocks of an unloaded version. */
  dropVersion: (model: string, version: string) => void
  events: (afterSequence: number) => CacheEventBatch
  size: () => number
}

/** Creates an empty cache. */
export function createBlockCache (options: BlockCacheOptions): BlockCache {
  /** In order of use, the least recently used first. */
  const blocks = new Map<string, CachedBlock>()
  const log: Array<{ at: number, event: CacheEvent }> = []
  let sequence = 0

  const entryKey = (salt: string, blockKey: string): string => `${salt}\n${blockKey}`

  function publish (kind: CacheEvent['kind'], blockKeys: readonly string[]): void {
    if (blockKeys.length === 0) return
    sequence++
    if (options.random() < options.eventLoss()) return
    log.push({ at: options.now(), event: { sequence, kind, blockKeys } })
    if (log.length > EVENT_LOG_LENGTH) log.splice(0, log.length - EVENT_LOG_LENGTH)
  }

  function remove (selected: ReadonlyArray<[string, CachedBlock]>): void {
    for (const [key] of selected) blocks.delete(key)
    publish('evicted', selected.map(([, block]) => block.blockKey))
  }

  return {
    match (user, blockKeys) {
      let count = 0
      for (const blockKey of blockKeys) {
        const key = entryKey(user.salt, blockKey)
        const block = blocks.get(key)
        if (block === undefined) break
        if (block.model !== user.model || block.version !== user.version || block.adapter !== user.adapter) {
          options.onMisuse(block, user)
        }
        blocks.delete(key)
        blocks.set(key, block)
        count++
      }
      return count
    },
    store (owner, blockKeys) {
      const added: string[] = []
      for (const blockKey of blockKeys) {
        const key = entryKey(owner.salt, blockKey)
        const known = blocks.get(key)
        if (known === undefined) added.push(blockKey)
        else blocks.delete(key)
        blocks.set(key, known ?? { ...owner, blockKey })
      }
      publish('stored', added)
      const excess = Math.max(0, blocks.size - options.capacity)
      if (excess > 0) remove([...blocks].slice(0, excess))
    },
    find (blockKeys) {
      const wanted = new Set(blockKeys)
      return [...blocks.values()].filter((block) => wanted.has(block.blockKey))
    },
    dropVersion (model, version) {
      remove([...blocks].filter(([, block]) => block.model === model && block.version === version))
    },
    events (afterSequence) {
      const visibleUntil = options.now() - options.eventLag()
      const events = log
        .filter(({ at, event }) => event.sequence > afterSequence && at <= visibleUntil)
        .slice(0, EVENT_BATCH_LENGTH)
        .map(({ event }) => event)
      return { incarnation: options.incarnation, newestSequence: sequence, events }
    },
    size: () => blocks.size
  }
}
