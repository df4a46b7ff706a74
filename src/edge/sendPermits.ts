/**
 * Keeps the requests of all instances within the limits that upstreams have named, and within those of cold upstreams.
 * Each request to such an upstream needs a permit.
 *
 * - Data centres divide a limit equally, so that they need not reach each other.
 * - In each data centre one instance, the allocator of the upstream, hands out the permits of its part. All instances
 *   find it by rendezvous hashing.
 * - An instance that cannot reach the allocator asks the standby, which hands out half as many: while some instances
 *   reach the allocator and others do not, the data centre exceeds its part by half at most.
 * - An instance that reaches neither uses the share of a single instance, and so does an allocator or standby that
 *   nobody asks: it may be cut off from the others.
 * - A limit of many requests per second for each instance is divided by their shares, without such requests.
 * - The limit of a cold upstream holds in every second and for all of its runs together; its parts are smaller, and there is
 *   no standby (`coldStart/permitRules.ts`).
 */
import { PlatformUnavailableError } from '../errors'
import { rankByRendezvous } from '../rendezvous'
import type { MonotonicMilliseconds, RandomSource } from '../types'
import { setBounded } from '../boundedMap'
import type { ColdLimits } from './coldStart/coldLimits'
import { COLD_LIMIT_RULES, NAMED_LIMIT_RULES, PermitRole, type PermitRules } from './coldStart/permitRules'
import { requestIfReachable, PeerRequestKind, type PeerLinks, type PeerValue } from './peerLinks'
import { MAX_LIMITED_RUNS, runKey, type RequestLimits } from './requestLimits'
import {
  changeInterval, createRequestPacer, restartIfIdle, takeSlot, type PacerDecision, type RequestPacer
} from './requestPacer'
import type { Peer, UpstreamRun } from './types'

/** Timeout in milliseconds for the response of an allocator; several round trips within a data centre. */
const RESPONSE_TIMEOUT_MS = 30
/** Requests per second of one instance from which its part of a limit is used without an allocator. */
const MIN_INDEPENDENT_RATE = 20
/**
 * Requests per second that are sent even if the limit is lower or zero. Without any, nothing would show that the limit
 * has ended.
 */
const MIN_RATE = 0.2
/** Milliseconds after a request of another instance for which this one hands out permits to several instances. */
const SERVING_MS = 5000

interface Limit {
  perSecond: number
  rules: PermitRules
}

interface Allocation {
  pacer: RequestPacer
  /** When another instance last asked this one for a permit. */
  askedAt: MonotonicMilliseconds
}

export interface SendPermitsOptions {
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  instance: string
  dataCentre: string
  /** The other instances. */
  peers: () => readonly Peer[]
  /** Returns the fields that identify this instance in messages to others. */
  sender: () => PeerValue
  /** This instance's share, between 0 and 1, of fleet-wide limits. */
  share: () => number
  /** Whether the list of instances, and so the share, is known. */
  isListRead: () => boolean
  limits: Pick<RequestLimits, 'limitOf'>
  coldLimits: Pick<ColdLimits, 'limitOf'>
  /** Monotonic clock in milliseconds. */
  now: () => number
  random: RandomSource
}

export interface SendPermits {
  /** Whether requests to the run need a permit. */
  isNeeded: (run: UpstreamRun) => boolean
  /** Returns the longest time in milliseconds after which a permit for the run that has become valid is still used. */
  validity: (run: UpstreamRun) => number
  /**
   * Takes a permit to send one request to the run.
   * @param maximumWait longest time in milliseconds after which the permit may become valid
   * @returns whether a permit was taken, and the time in milliseconds until it is valid or the next one is free
   */
  acquire: (run: UpstreamRun, maximumWait: number) => Promise<PacerDecision>
  /** Takes a permit and resolves once it is valid; resolves to false if none was available. */
  waitFor: (run: UpstreamRun, maximumWait: number) => Promise<boolean>
  /** Handles the request of another instance for a permit. */
  handleRequest: (request: PeerValue) => Promise<PeerValue>
}

function isNonNegative (value: unknown): value is number {
  return typeof value === 'number' && value >= 0
}

export function createSendPermits (options: SendPermitsOptions): SendPermits {
  const { links, instance, dataCentre, limits, coldLimits, now, random } = options
  const allocations = new Map<string, Allocation>()

  /** Part of each role in a limit. */
  const partOf: Readonly<Record<PermitRole, () => number>> = {
    allocator: () => 1 / dataCentreCount(),
    standby: () => 1 / dataCentreCount(),
    independent: options.share,
    divided: options.share
  }

  /** Returns the limit of a run that is in force; undefined if there is none. */
  function limitOf (run: UpstreamRun): Limit | undefined {
    const named = limits.limitOf(run)
    const cold = coldLimits.limitOf(run, now())
    if (cold !== undefined) {
      // An instance that does not know the others would use the parts of all.
      const perSecond = options.isListRead() ? Math.min(cold, named ?? Infinity) : 0
      return { perSecond, rules: COLD_LIMIT_RULES }
    }
    return named === undefined ? undefined : { perSecond: named, rules: NAMED_LIMIT_RULES }
  }

  function dataCentreCount (): number {
    return new Set([dataCentre, ...options.peers().map((peer) => peer.dataCentre)]).size
  }

  function localPeers (): Peer[] {
    return options.peers().filter((peer) => peer.dataCentre === dataCentre)
  }

  /** Returns the allocator and the standby of a run; undefined represents this instance. */
  function allocatorsOf (run: UpstreamRun): Array<Peer | undefined> {
    const local = new Map(localPeers().map((peer) => [peer.name, peer]))
    return rankByRendezvous(`permits of ${run.identifier}`, [instance, ...local.keys()])
      .slice(0, 2).map((name) => local.get(name))
  }

  function takePermit (
    run: UpstreamRun, role: PermitRole, { perSecond, rules }: Limit, maximumWait: number, isAsked: boolean,
    present: MonotonicMilliseconds
  ): PacerDecision {
    // A new run of a cold upstream continues with the permits of the one before, within the same second.
    const key = rules === COLD_LIMIT_RULES ? `cold/${run.identifier}` : runKey(run)
    const known = allocations.get(key)
    const askedAt = isAsked ? present : known?.askedAt ?? -Infinity
    const isServing = present - askedAt < SERVING_MS || localPeers().length === 0
    const actualRole = isServing || role === PermitRole.divided ? role : PermitRole.independent
    const interval = 1000 / (Math.max(MIN_RATE, perSecond) * partOf[actualRole]() * rules.fractions[actualRole])
    const pacer = known?.pacer ?? createRequestPacer(interval, random, present)
    setBounded(allocations, key, { pacer, askedAt }, MAX_LIMITED_RUNS)
    changeInterval(pacer, interval, present)
    if (actualRole === PermitRole.independent) restartIfIdle(pacer, random, present)
    return takeSlot(pacer, maximumWait, rules.credit, present)
  }

  async function requestPermit (
    peer: Peer, { identifier, startedAt }: UpstreamRun, { perSecond, rules }: Limit, maximumWait: number
  ): Promise<PacerDecision | undefined> {
    const request = {
      kind: PeerRequestKind.sendPermits,
      sender: options.sender(),
      upstream: identifier,
      startedAt,
      perSecond,
      maximumWait,
      isCold: rules === COLD_LIMIT_RULES
    }
    const { granted, wait } = await requestIfReachable(links, peer.endpoint, request, RESPONSE_TIMEOUT_MS) ?? {}
    return typeof granted === 'boolean' && isNonNegative(wait) ? { granted, wait } : undefined
  }

  async function acquire (run: UpstreamRun, maximumWait: number): Promise<PacerDecision> {
    const limit = limitOf(run)
    if (limit === undefined) return { granted: true, wait: 0 }
    if (limit.perSecond * options.share() >= MIN_INDEPENDENT_RATE) {
      return takePermit(run, PermitRole.divided, limit, maximumWait, false, now())
    }
    const allocators = allocatorsOf(run)
    for (const [index, role] of limit.rules.askedRoles.entries()) {
      if (index >= allocators.length) break
      const peer = allocators[index]
      if (peer === undefined) return takePermit(run, role, limit, maximumWait, false, now())
      if (!links.isUsable(peer.endpoint)) continue
      const decision = await requestPermit(peer, run, limit, maximumWait)
      if (decision !== undefined) return decision
    }
    return takePermit(run, PermitRole.independent, limit, maximumWait, false, now())
  }

  return {
    isNeeded: (run) => limitOf(run) !== undefined,
    validity: (run) => limitOf(run)?.rules.validity ?? Infinity,
    acquire,
    async waitFor (run, maximumWait) {
      const { granted, wait } = await acquire(run, maximumWait)
      if (granted && wait > 0) await new Promise((resolve) => { setTimeout(resolve, wait) })
      return granted
    },
    async handleRequest ({ upstream, startedAt, perSecond, maximumWait, isCold }) {
      const isValid = typeof upstream === 'string' && typeof startedAt === 'number'
      if (!isValid || !isNonNegative(perSecond) || !isNonNegative(maximumWait)) {
        throw new PlatformUnavailableError('request for a permit is malformed')
      }
      const run = { identifier: upstream, startedAt }
      // Instances with different lists may ask an instance that is not the allocator by its own list.
      const isAllocator = allocatorsOf(run)[0] === undefined
      const role = isAllocator ? PermitRole.allocator : PermitRole.standby
      const stated: Limit = { perSecond, rules: isCold === true ? COLD_LIMIT_RULES : NAMED_LIMIT_RULES }
      const known = limitOf(run) ?? stated
      // Of two instances, either may be the only one that knows that the upstream is cold.
      const limit = stated.rules === COLD_LIMIT_RULES && known.rules !== COLD_LIMIT_RULES ? stated : known
      return { ...takePermit(run, role, limit, maximumWait, true, now()) }
    }
  }
}
