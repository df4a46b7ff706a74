import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { startEngineServer } from '../../../standins/engine/server'
import type { EngineServer } from '../../../standins/engine/server'
import { startPlatformServer } from '../../../standins/platform/server'
import type { PlatformServer } from '../../../standins/platform/server'
import { createExternalCachePolicy } from '../../prefix/externalCache'
import { createHttpUpstreamClient } from '../../upstream/engineClient'
import type { EngineCompletionRequest, UpstreamClient } from '../../upstream/types'
import type { Placement } from '../dispatcher'
import { createExternalCacheTransfer } from '../externalCacheTransfer'

const PREFILL = 4096
const BLOCKS = ['00000000000000aa', '00000000000000ab', '00000000000000ac']

let platform: PlatformServer
let engines: EngineServer[]
let client: UpstreamClient

beforeEach(async () => {
  platform = await startPlatformServer()
  engines = await Promise.all([1, 2].map(async (incarnation) => await startEngineServer({
    loaded: ['m@v1'],
    prefillTokensPerSecond: PREFILL,
    incarnation,
    platform: `http://127.0.0.1:${platform.endpoint.port}`
  })))
  client = createHttpUpstreamClient()
})
afterEach(async () => {
  await client.close()
  await Promise.all([...engines, platform].map(async (server) => { await server.close() }))
})

function placementOn (engine: EngineServer): Placement {
  return {
    upstream: `e${engine.core.incarnation}`,
    endpoint: engine.endpoint,
    incarnation: engine.core.incarnation,
    expectedBlocks: 0,
    queueWaitMilliseconds: 0,
    recordFirstToken () {},
    releasePrefix () {},
    release () {}
  }
}

/** Runs a prompt of three blocks and returns the number of cached prompt tokens. */
async function run (engine: EngineServer, attempt: number): Promise<number> {
  const command: EngineCompletionRequest = {
    requestIdentifier: 'r',
    attempt,
    model: 'm',
    version: 'v1',
    adapter: '',
    prompt: 'x'.repeat(3 * 4096),
    maximumOutputTokens: 1,
    priority: 0,
    blockKeys: BLOCKS,
    cacheSalt: 's',
    resumeFrom: 0,
    resumeText: ''
  }
  const timeouts = { connect: 1000, firstByte: 5000, betweenChunks: 5000, whole: 10_000 }
  let cached = 0
  for await (const chunk of client.complete(engine.endpoint, command, timeouts, new AbortController().signal)) {
    cached = chunk.cachedTokens ?? cached
  }
  return cached
}

describe('external cache transfer', () => {
  // Guards against a hot prefix that is recomputed by every engine that does not have it cached.
  it('transfers a hot prefix from one engine to another', async () => {
    const [first, second] = engines as [EngineServer, EngineServer]
    const use = createExternalCacheTransfer({
      policy: createExternalCachePolicy({ exportsPerSecond: 100, importsPerSecond: 100 }),
      client,
      prefillRate: () => PREFILL,
      now: () => performance.now()
    })
    for (let attempt = 1; attempt <= 3; attempt++) {
      await run(first, attempt)
      use.exportAfterResponse(placementOn(first), BLOCKS)
    }
    await expect.poll(async () => {
      await use.importBeforeAttempt(placementOn(second), BLOCKS)
      return second.core.cache.size()
    }).toBe(3)
    expect(await run(second, 1)).toBeGreaterThan(0)
  })

  // Guards against a request that waits longer for a stalled import than recomputing the blocks would take.
  it('waits for an import no longer than recomputing the blocks would take', async () => {
    const policy = createExternalCachePolicy({ exportsPerSecond: 100, importsPerSecond: 100 })
    for (let count = 0; count < 3; count++) policy.recordUse(BLOCKS, performance.now())
    const use = createExternalCacheTransfer({
      policy,
      client: { exportBlocks: async () => {}, importBlocks: async () => await new Promise(() => {}) },
      prefillRate: () => 20_000,
      now: () => performance.now()
    })
    const startedAt = performance.now()
    await use.importBeforeAttempt(placementOn(engines[0]!), BLOCKS)
    expect(performance.now() - startedAt).toBeLessThan(1000)
  })
})
