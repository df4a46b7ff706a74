/**
 * Prompts and arrivals: prefixes nested in three levels (customer, document, session) with Zipf-distributed popularity,
 * sessions that grow by turns, and a tail that is never shared.
 */
import { BLOCK_TOKENS } from '../../src/prefix/routing'
import { createRandom, createZipf, exponential } from './random'
import type { Preset } from './presets'
import type { Scenario } from './scenarios'

export interface Arrival {
  /** Milliseconds from the start. */
  time: number
  customer: string
  blockKeys: readonly string[]
  promptTokens: number
  outputTokens: number
  /** Index of the router that the load balancer selects, before the number of routers is applied. */
  router: number
  /** False when the customer sends more than its rate. */
  insideRate: boolean
}

export const CUSTOMER_BLOCKS = 1
export const DOCUMENT_BLOCKS = 2
const MOST_SESSION_BLOCKS = 5
/** Probability that a request is the next turn, with one block more, and not a repetition of the last. */
const TURN_PROBABILITY = 0.4
const DOCUMENTS = 12
const SESSIONS = 40
const ZIPF_EXPONENT = 1.05

/** All arrivals of a run in order of time. */
export function createArrivals (preset: Preset, scenario: Scenario, seed: number): Arrival[] {
  const random = createRandom(seed, 1)
  const keyRandom = createRandom(seed, 2)
  const chooseDocument = createZipf(DOCUMENTS, ZIPF_EXPONENT)
  const chooseSession = createZipf(SESSIONS, ZIPF_EXPONENT)
  const newKey = (): string => half(keyRandom()) + half(keyRandom())
  const customerKeys = new Map<string, string[]>()
  const documentKeys = new Map<string, string[]>()
  const sessions = new Map<string, string[]>()
  const keysOf = (map: Map<string, string[]>, name: string, blocks: number): string[] => {
    const known = map.get(name) ?? Array.from({ length: blocks }, newKey)
    map.set(name, known)
    return known
  }

  function prompt (customer: string, shift: number): string[] {
    const documentName = `${customer}/${shift}/${chooseDocument(random)}`
    const sessionName = `${documentName}/${chooseSession(random)}`
    let session = keysOf(sessions, sessionName, 1)
    if (random() < TURN_PROBABILITY) {
      session = session.length >= MOST_SESSION_BLOCKS ? [newKey()] : [...session, newKey()]
      sessions.set(sessionName, session)
    }
    return [
      ...keysOf(customerKeys, customer, CUSTOMER_BLOCKS), ...keysOf(documentKeys, documentName, DOCUMENT_BLOCKS),
      ...session
    ]
  }

  const arrivals: Arrival[] = []
  preset.customerShares.forEach((share, number) => {
    const customer = `customer-${number}`
    let time = 0
    for (;;) {
      const factor = scenario.rateFactor(time / scenario.duration, number)
      const rate = preset.requestsPerSecond * share * factor
      time += exponential(random, 1000 / rate)
      if (time >= scenario.duration) break
      const blockKeys = prompt(customer, scenario.shift(time / scenario.duration))
      arrivals.push({
        time,
        customer,
        blockKeys,
        promptTokens: blockKeys.length * BLOCK_TOKENS + 50 + Math.floor(random() * 900),
        outputTokens: 20 + Math.floor(random() * 200),
        router: Math.floor(random() * 1_000_000),
        insideRate: !scenario.floods(time / scenario.duration, number)
      })
    }
  })
  return arrivals.sort((left, right) => left.time - right.time)
}

function half (value: number): string {
  return Math.floor(value * 0x100000000).toString(16).padStart(8, '0')
}
