/** Seeded random numbers. Each concern gets its own stream, so that policies see the same arrivals for a seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomSource } from '../../src/types'

export function createRandom (seed: number, stream: number): RandomSource {
  const generator = xoroshiro128plus((seed * 1000003 + stream * 7919) | 0)
  for (let skipped = 0; skipped < 8; skipped++) generator.next()
  return () => (generator.next() >>> 0) / 0x100000000
}

/** Exponentially distributed with the given mean. */
export function exponential (random: RandomSource, mean: number): number {
  return -mean * Math.log(1 - random())
}

/** Returns indices 0 to count - 1 with probability proportional to 1 / (index + 1) ^ exponent. */
export function createZipf (count: number, exponent: number): (random: RandomSource) => number {
  const cumulative: number[] = []
  let total = 0
  for (let index = 0; index < count; index++) {
    total += 1 / Math.pow(index + 1, exponent)
    cumulative.push(total)
  }
  return random => {
    const target = random() * total
    let low = 0
    let high = count - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (cumulative[middle]! > target) high = middle
      else low = middle + 1
    }
    return low
  }
}
