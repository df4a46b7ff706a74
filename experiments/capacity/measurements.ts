/** The measurements behind docs/CAPACITY.md: each drives a shipped module at several sizes. */
import { createKeySet } from '../../src/customer/keys'
import { createFairQueue } from '../../src/fairness/fairQueue'
import { createFrameReader, encodeFrame } from '../../src/peer/frames'
import type { Heartbeat, PeerMessage } from '../../src/peer/messages'
import { createBlockIndex } from '../../src/prefix/blockIndex'
import { chooseUpstream } from '../../src/prefix/routing'
import type { RoutingCandidate } from '../../src/prefix/types'
import { createQuotaAccounts } from '../../src/quota/accounts'
import { createCrashLedger } from '../../src/upstream/crashLedger'
import { createUpstreamRegistry } from '../../src/upstream/registry'
import type { ListedInstance } from '../../src/types'
import type { Prepared } from './slope'

export interface Measurement {
  name: string
  /** What one unit of size is. */
  unit: string
  /** What one operation is. */
  operation: string
  sizes: readonly number[]
  rounds: number
  prepare: (size: number) => Prepared
}

const PROMPT_BLOCKS = 8
const EVENTS_PER_BATCH = 50

const blockKey = (number: number): string => number.toString(16).padStart(16, '0')

function listed (size: number): ListedInstance[] {
  return Array.from({ length: size }, (_, number) => ({
    name: `engine-${number}`,
    kind: 'engine',
    dataCentre: 'north',
    endpoint: { host: '127.0.0.1', port: 10_000 + number },
    state: 'live'
  }))
}

function heartbeat (upstreams: number): Heartbeat {
  return {
    kind: 'heartbeat',
    state: 'live',
    revision: 1000,
    keyVersion: 100_000,
    work: Object.fromEntries(Array.from({ length: upstreams }, (_, number) => [`engine-${number}`, number * 100])),
    clock: '01780000000000.000001'
  }
}

function candidates (size: number): RoutingCandidate[] {
  return Array.from({ length: size }, (_, number) => ({
    upstream: `engine-${number}`,
    dataCentre: 'north',
    incarnation: 1,
    queuedTokens: number * 10,
    prefillTokensPerSecond: 10_000,
    distanceMilliseconds: 0,
    hasCapacity: true
  }))
}

function filledIndex (entries: number, upstreams: number) {
  const index = createBlockIndex({ maximumEntries: entries })
  for (let block = 0; block < entries; block += PROMPT_BLOCKS) {
    const keys = Array.from({ length: PROMPT_BLOCKS }, (_, offset) => blockKey(block + offset))
    index.recordRouted(`engine-${block / PROMPT_BLOCKS % upstreams}`, 1, keys, block / 100)
  }
  return index
}

function frameSize (message: PeerMessage): number {
  return encodeFrame(message).length
}

/** Bytes of the messages that daemons exchange regularly, by size. */
export function messageSizes () {
  return {
    heartbeatBytes: Object.fromEntries([0, 10, 50, 100].map((size) => [size, frameSize(heartbeat(size))])),
    loanRequestBytes: frameSize({
      kind: 'loanRequest', identifier: 'router-17/1780000000000/123456', customer: 'customer-123', rate: 1234.5, capacity: 12345.6, tokens: 1234.5, duration: 5000
    }),
    loanReplyBytes: frameSize({
      kind: 'loanReply', identifier: 'router-17/1780000000000/123456', customer: 'customer-123', rate: 1234.5, capacity: 12345.6, tokens: 1234.5, duration: 5000
    }),
    keyNoticeBytes: frameSize({
      kind: 'keyNotice', keys: [{ hash: 'f'.repeat(64), customer: 'customer-123', state: 'withdrawn', version: 100_000 }]
    }),
    crashNoticeBytes: frameSize({
      kind: 'crashNotice', fingerprint: 'f'.repeat(32), upstream: 'engine-123', incarnation: 1_780_000_000_000, age: 0
    })
  }
}

export const measurements: readonly Measurement[] = [
  {
    name: 'quota accounts',
    unit: 'customer',
    operation: 'admission and settlement',
    sizes: [75, 150, 300, 600],
    rounds: 2000,
    prepare (size) {
      const accounts = createQuotaAccounts()
      const limits = Array.from({ length: size }, (_, number) => ({ customer: `customer-${number}`, rate: 1e9, burst: 1e9 }))
      accounts.setLimits(limits, 0)
      accounts.setGrant('floor', 5000, 1e12, 0)
      return {
        state: accounts,
        operation (round) {
          const result = accounts.admit(`r${round}`, `customer-${round % size}`, 100, 1e6 + round)
          if (result.admitted) accounts.settle(result.charge, 50, 1e6 + round)
        }
      }
    }
  },
  {
    name: 'quota renewal',
    unit: 'customer',
    operation: 'renewal of one grant for all customers',
    sizes: [75, 150, 300, 600],
    rounds: 200,
    prepare (size) {
      const accounts = createQuotaAccounts()
      accounts.setLimits(Array.from({ length: size }, (_, number) => ({ customer: `customer-${number}`, rate: 1e6, burst: 1e6 })), 0)
      return { state: undefined, operation (round) { accounts.setGrant('pool', 100, round + 30_000, round) } }
    }
  },
  {
    name: 'key set',
    unit: 'key',
    operation: 'authentication',
    sizes: [300, 600, 1200, 2400],
    rounds: 5000,
    prepare (size) {
      const keys = createKeySet()
      keys.apply(Array.from({ length: size }, (_, number) => ({
        hash: number.toString(16).padStart(64, '0'), customer: `customer-${number % 300}`, state: 'granted', version: number + 1
      })))
      return {
        state: keys,
        operation (round) {
          try {
            keys.authenticate(`wws_${round}`, 0)
          } catch {
            // Unknown keys take the same look-up as known ones.
          }
        }
      }
    }
  },
  {
    name: 'upstream registry',
    unit: 'upstream',
    operation: 'application of the instance list',
    sizes: [13, 50, 100, 200],
    rounds: 500,
    prepare (size) {
      const registry = createUpstreamRegistry({ dataCentre: 'north' })
      const list = listed(size)
      registry.applyList(list, 1, 0)
      return { state: registry, operation (round) { registry.applyList(list, round + 2, round) } }
    }
  },
  {
    name: 'block index',
    unit: 'entry',
    operation: `application of a batch of ${EVENTS_PER_BATCH} cache events`,
    sizes: [50_000, 100_000, 200_000, 350_000],
    rounds: 500,
    prepare (size) {
      const index = filledIndex(size, 50)
      return {
        state: index,
        operation (round) {
          const first = round * EVENTS_PER_BATCH + 1
          index.applyEvents('engine-1', {
            incarnation: 1,
            newestSequence: first + EVENTS_PER_BATCH - 1,
            events: Array.from({ length: EVENTS_PER_BATCH }, (_, offset) => ({
              sequence: first + offset, kind: offset % 2 === 0 ? 'stored' : 'evicted', blockKeys: [blockKey(1e9 + first + offset)]
            }))
          }, 1e6 + round)
        }
      }
    }
  },
  {
    name: 'routing',
    unit: 'candidate',
    operation: `choice for a prompt of ${PROMPT_BLOCKS} blocks`,
    sizes: [6, 13, 25, 50, 100],
    rounds: 2000,
    prepare (size) {
      const index = filledIndex(100_000, size)
      const all = candidates(size)
      return {
        state: undefined,
        operation (round) {
          const first = round % 10_000 * PROMPT_BLOCKS
          const blockKeys = Array.from({ length: PROMPT_BLOCKS }, (_, offset) => blockKey(first + offset))
          chooseUpstream({ blockKeys, promptTokens: 8192 }, all, index, 1e6, () => 0.5)
        }
      }
    }
  },
  {
    name: 'fair queue',
    unit: 'customer',
    operation: 'arrival and departure of one request',
    sizes: [75, 150, 300, 600],
    rounds: 2000,
    prepare (size) {
      const queue = createFairQueue()
      for (let number = 0; number < size; number += 1) {
        queue.enqueue({ identifier: `q${number}`, customer: `customer-${number}`, cost: 1000, deadline: 1e12 }, 0)
      }
      return {
        state: queue,
        operation (round) {
          queue.enqueue({ identifier: `r${round}`, customer: `customer-${round % size}`, cost: 1000, deadline: 1e12 }, round)
          queue.dequeue(round)
        }
      }
    }
  },
  {
    name: 'heartbeat',
    unit: 'upstream named in it',
    operation: 'encoding, decoding and checking of one heartbeat',
    sizes: [0, 10, 50, 100],
    rounds: 1000,
    prepare (size) {
      const message = heartbeat(size)
      const reader = createFrameReader()
      return { state: undefined, operation () { reader.push(encodeFrame(message)) } }
    }
  },
  {
    name: 'crash ledger',
    unit: 'request in flight',
    operation: 'start, verdict and end of one attempt',
    sizes: [50, 100, 200, 400],
    rounds: 1000,
    prepare (size) {
      const ledger = createCrashLedger()
      for (let number = 0; number < size; number += 1) ledger.started(`f${number}`, 'engine-1', 1)
      return {
        state: ledger,
        operation (round) {
          const handle = ledger.started(`g${round}`, 'engine-2', 1)
          ledger.verdict(`g${round}`, round)
          handle.ended(true)
        }
      }
    }
  }
]
