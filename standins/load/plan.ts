/** Plan of a load run: arrival times and prompts, fixed in advance from a seed. */
import { createHash } from 'node:crypto'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { BLOCK_BYTES } from '../../src/constants'

export interface PlanOptions {
  /** Requests per second. */
  rate: number
  seconds: number
  promptBytes: number
  /** Number of shared prefixes. The first ones are used most, by Zipf's law. */
  prefixes: number
  /** Part of each prompt that is one of the shared prefixes, 0 to 1. */
  sharedPart: number
  seed: number
}

export interface PlannedRequest {
  /** Milliseconds after the start of the run. */
  arrival: number
  requestIdentifier: string
  prompt: string
}

/** Text of the given length that depends on the label only; ASCII, so that bytes and characters are the same. */
function fillText (label: string, bytes: number): string {
  const line = `${createHash('sha256').update(label).digest('hex')} ${label} `
  return line.repeat(Math.ceil(bytes / line.length)).slice(0, bytes)
}

/** Poisson arrivals over the given time. */
export function planLoad (options: PlanOptions): PlannedRequest[] {
  const generator = xoroshiro128plus(options.seed)
  const sharedBytes = Math.floor(options.promptBytes * options.sharedPart)
  const shared = Array.from({ length: options.prefixes }, (_, index) => fillText(`prefix-${index}`, sharedBytes))
  const weights = shared.map((_, index) => 1 / (index + 1))
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0)

  function choosePrefix (): string {
    let left = uniformFloat64(generator) * totalWeight
    const index = weights.findIndex((weight) => (left -= weight) < 0)
    return shared[Math.max(0, index)] ?? ''
  }

  const requests: PlannedRequest[] = []
  let arrival = 0
  while (true) {
    arrival += -Math.log(1 - uniformFloat64(generator)) / options.rate * 1000
    if (arrival >= options.seconds * 1000) return requests
    const own = uniformInt(generator, 0, 0x7fffffff).toString(36)
    const prompt = choosePrefix() + fillText(`request-${requests.length}-${own}`, options.promptBytes - sharedBytes)
    requests.push({ arrival, requestIdentifier: `load-${options.seed}-${requests.length}-${own}`, prompt })
  }
}

/** Chained block keys for the direct engine mode. The router computes its own. */
export function chainBlockKeys (prompt: string): string[] {
  const bytes = Buffer.from(prompt)
  const keys: string[] = []
  let parent = ''
  for (let end = BLOCK_BYTES; end <= bytes.length; end += BLOCK_BYTES) {
    parent = createHash('sha256').update(parent).update(bytes.subarray(end - BLOCK_BYTES, end)).digest('hex').slice(0, 16)
    keys.push(parent)
  }
  return keys
}
