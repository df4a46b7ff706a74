/** Export and import of cached blocks through the platform's object store. */
import { createHttpPlatformClient } from '../../src/platform/httpPlatformClient'
import type { PlatformClient } from '../../src/platform/types'
import type { BlockCache, CachedBlock } from './blockCache'

export interface BlockTransferOptions {
  cache: BlockCache
  /** URL of the platform stand-in; without it nothing is exported or imported. */
  platform?: string
  /** Milliseconds to import one block. */
  importMilliseconds: number
  /** A version that is not loaded cannot use a block. */
  isLoaded: (model: string, version: string, adapter: string) => boolean
}

export interface BlockTransfer {
  /** Resolves with the number of blocks written. */
  exportBlocks: (blockKeys: readonly string[]) => Promise<number>
  /** Resolves with the number of blocks that are now in the cache. */
  importBlocks: (blockKeys: readonly string[]) => Promise<number>
  close: () => Promise<void>
}

/** Name of the object that holds a block. */
export function blockObjectName (blockKey: string): string {
  return `blocks/${blockKey}`
}

/** Creates the transfer; it connects on first use. */
export function createBlockTransfer (options: BlockTransferOptions): BlockTransfer {
  const { cache, importMilliseconds, isLoaded } = options
  let client: PlatformClient | undefined
  if (options.platform !== undefined) {
    const url = new URL(options.platform)
    client = createHttpPlatformClient({ endpoint: { host: url.hostname, port: Number(url.port) } })
  }
  return {
    async exportBlocks (blockKeys) {
      if (client === undefined) return 0
      const blocks = cache.find(blockKeys)
      for (const block of blocks) {
        await client.writeObject(blockObjectName(block.blockKey), Buffer.from(JSON.stringify(block)))
      }
      return blocks.length
    },
    async importBlocks (blockKeys) {
      if (client === undefined) return 0
      let imported = 0
      for (const blockKey of blockKeys) {
        const content = await client.readObject(blockObjectName(blockKey))
        // A block is of use only after all blocks before it.
        if (content === undefined) break
        const block = JSON.parse(Buffer.from(content).toString('utf8')) as CachedBlock
        if (!isLoaded(block.model, block.version, block.adapter)) break
        await new Promise((resolve) => setTimeout(resolve, importMilliseconds))
        cache.store(block, [blockKey])
        imported++
      }
      return imported
    },
    async close () { await client?.close() }
  }
}
