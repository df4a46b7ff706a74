/** Routing policies under measurement. The shipped decisions come from src/; the others are baselines. */
import { createBlockIndex } from '../../src/prefix/blockIndex'
import { rankByRendezvous, rendezvousWeight } from '../../src/rendezvous'
import { BLOCK_TOKENS, chooseUpstream } from '../../src/prefix/routing'
import type { BlockIndex, RoutingCandidate, RoutingDecision, RoutingPolicy } from '../../src/prefix/types'
import type { Engine } from './engine'
import { createPerfectIndex, createSummaryIndex } from './otherIndexes'
import { CUSTOMER_BLOCKS, DOCUMENT_BLOCKS } from './workload'

export interface PolicyDefinition {
  name: string
  /** A new chooser for each router, since some keep a counter. */
  createChoice: () => RoutingPolicy
  createIndex: (engines: readonly Engine[], now: () => number) => BlockIndex
  /** True when the index is fed by event streams; the others do without the polls. */
  events: boolean
  /** Waiting for cold prefixes. */
  gate: boolean
  /** Fair queue and concurrency limits. */
  fairness: boolean
}

/** Enough for every preset's caches several times over. */
const INDEX_ENTRIES = 20_000
const createOwnIndex = (): BlockIndex => createBlockIndex({ maximumEntries: INDEX_ENTRIES })

function decisionOf (candidate: RoutingCandidate): RoutingDecision {
  return {
    upstream: candidate.upstream,
    incarnation: candidate.incarnation,
    expectedBlocks: 0,
    expectedMilliseconds: 0,
    alternatives: []
  }
}

function createRoundRobin (): RoutingPolicy {
  let next = 0
  return (_request, candidates) =>
    candidates.length === 0 ? undefined : decisionOf(candidates[next++ % candidates.length]!)
}

/** Fewest waiting tokens as far as known; random among equals. */
const leastLoaded: RoutingPolicy = (_request, candidates, _index, _now, random) => {
  if (candidates.length === 0) return undefined
  const lowest = Math.min(...candidates.map(({ queuedTokens }) => queuedTokens))
  const equal = candidates.filter(({ queuedTokens }) => queuedTokens === lowest)
  return decisionOf(equal[Math.floor(random() * equal.length)]!)
}

/**
 * First upstream in rendezvous order of the document, whatever its load. The first block would be a weak baseline: it is
 * the same for all prompts of a customer.
 */
const consistentHash: RoutingPolicy = (request, candidates) => {
  const key = request.blockKeys[CUSTOMER_BLOCKS + DOCUMENT_BLOCKS - 1] ?? ''
  const first = rankByRendezvous(key, candidates.map(({ upstream }) => upstream))[0]
  const found = candidates.find(({ upstream }) => upstream === first)
  return found === undefined ? undefined : decisionOf(found)
}

/** Depths in blocks whose keys are hashed when there is no index. */
const LEVELS = [1, 2, 4, 8]

/** No index: the home of each prefix level is assumed to hold that level; the lowest expected time wins. */
const rendezvousLevels: RoutingPolicy = (request, candidates) => {
  let best: { candidate: RoutingCandidate, expected: number } | undefined
  for (const level of LEVELS) {
    const key = request.blockKeys[level - 1]
    if (key === undefined) break
    const home = candidates.filter(({ hasCapacity }) => hasCapacity)
      .map(candidate => ({ candidate, weight: rendezvousWeight(key, candidate.upstream) }))
      .sort((left, right) => right.weight - left.weight)[0]?.candidate
    if (home === undefined) return undefined
    const tokens = home.queuedTokens + request.promptTokens - level * BLOCK_TOKENS
    const expected = tokens * 1000 / home.prefillTokensPerSecond + home.distanceMilliseconds
    if (best === undefined || expected < best.expected) best = { candidate: home, expected }
  }
  return best === undefined ? undefined : { ...decisionOf(best.candidate), expectedMilliseconds: best.expected }
}

const baseline = { createIndex: createOwnIndex, events: false, gate: false, fairness: false }

const shipped = {
  createChoice: () => chooseUpstream, createIndex: createOwnIndex, events: true, gate: true, fairness: true
}

export const POLICIES: Readonly<Record<string, PolicyDefinition>> = {
  'round-robin': { ...baseline, name: 'round-robin', createChoice: createRoundRobin },
  'least-loaded': { ...baseline, name: 'least-loaded', createChoice: () => leastLoaded },
  'consistent-hash': { ...baseline, name: 'consistent-hash', createChoice: () => consistentHash },
  waxwingspoke: {
    ...shipped, name: 'waxwingspoke'
  },
  oracle: {
    ...shipped, name: 'oracle', createIndex: createPerfectIndex, events: false
  },
  'without-gate': {
    ...shipped, name: 'without-gate', gate: false
  },
  'rendezvous-levels': {
    ...shipped, name: 'rendezvous-levels', createChoice: () => rendezvousLevels, events: false
  },
  summary: {
    ...shipped, name: 'summary', createIndex: createSummaryIndex, events: false
  }
}

/** The policies of the main table; the others belong to the comparisons of section 11 of the design page. */
export const MAIN_POLICIES = ['round-robin', 'least-loaded', 'consistent-hash', 'waxwingspoke', 'oracle']
