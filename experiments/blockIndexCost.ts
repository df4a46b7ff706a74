/**
 * Measures the block index: bytes per entry and microseconds per lookup, by size. Prints one line of JSON for each size.
 * Run with `node --expose-gc --import tsx experiments/blockIndexCost.ts`.
 */
import { performance } from 'node:perf_hooks'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createBlockIndex } from '../src/prefix/blockIndex'
import { chooseUpstream } from '../src/prefix/routing'
import type { RoutingCandidate } from '../src/prefix/types'

const SIZES = [10_000, 100_000, 1_000_000, 5_000_000]
const PROMPT_BLOCKS = 8
const UPSTREAMS = 13
const LOOKUPS = 200_000

for (const size of SIZES) console.log(JSON.stringify(measure(size)))

function measure (size: number) {
  const generator = xoroshiro128plus(size)
  const half = () => (generator.next() >>> 0).toString(16).padStart(8, '0')
  const names = Array.from({ length: UPSTREAMS }, (_, number) => `engine-${number}`)
  globalThis.gc?.()
  globalThis.gc?.()
  const before = process.memoryUsage().arrayBuffers
  const index = createBlockIndex({ maximumEntries: size })
  const prompts: string[][] = []
  // Fills to the limit; of a larger index only the first prompts are kept for the lookups.
  const fillStart = performance.now()
  for (let entries = 0; entries < size; entries += PROMPT_BLOCKS) {
    const keys = Array.from({ length: PROMPT_BLOCKS }, () => half() + half())
    index.recordRouted(names[(entries / PROMPT_BLOCKS) % UPSTREAMS]!, 1, keys, entries / 100)
    if (prompts.length < 20_000) prompts.push(keys)
  }
  const fillMicroseconds = (performance.now() - fillStart) * 1000 / size
  const kept = prompts.length
  const lookup = timed(LOOKUPS, number =>
    index.cachedBlocks(names[number % kept % UPSTREAMS]!, 1, prompts[number % kept]!, size / 100))
  const miss = timed(LOOKUPS, number =>
    index.cachedBlocks(names[(number + 1) % kept % UPSTREAMS]!, 1, prompts[number % kept]!, size / 100))
  const candidates = names.map((upstream): RoutingCandidate => ({
    upstream,
    dataCentre: 'north',
    incarnation: 1,
    queuedTokens: 0,
    prefillTokensPerSecond: 10_000,
    distanceMilliseconds: 0,
    hasCapacity: true
  }))
  const decision = timed(LOOKUPS / 10, number => {
    const request = { blockKeys: prompts[number % kept]!, promptTokens: PROMPT_BLOCKS * 1024 }
    chooseUpstream(request, candidates, index, size / 100, () => 0.5)
  })
  globalThis.gc?.()
  const bytes = process.memoryUsage().arrayBuffers - before
  return {
    maximumEntries: size,
    entries: index.entryCount(),
    bytesPerEntry: round(bytes / index.entryCount()),
    insertMicrosecondsPerBlock: round(fillMicroseconds),
    lookupMicroseconds: round(lookup),
    missMicroseconds: round(miss),
    decisionMicroseconds: round(decision)
  }
}

function timed (count: number, run: (number: number) => void): number {
  const start = performance.now()
  for (let number = 0; number < count; number++) run(number)
  return (performance.now() - start) * 1000 / count
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
