/**
 * Registry of upstreams. Merges the platform's list, the reports of the engines, this instance's work in flight and the
 * work announced by peers. The list adds upstreams and marks them as leaving; it never removes one that still responds.
 */
import type { RoutingCandidate } from '../prefix/types'
import type { Incarnation, ListedInstance, MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import type {
  UpstreamEventKind, UpstreamRegistry, UpstreamRegistryOptions, UpstreamView
} from './registryTypes'
import {
  adoptIncarnation, adoptReport, beginWork, createUpstreamState, endPrefill, endWork, noteFailure, noteSuccess,
  ownQueuedTokens, prefillRate, queuedTokens
} from './upstreamState'
import type { UpstreamState } from './upstreamState'

/**
 * Score penalty in milliseconds for an upstream in another data centre. Covers the round trip of up to 1.5 ms and a
 * fixed cost for the shared link, so that the local data centre is preferred until its queueing delay exceeds the
 * penalty.
 */
export const REMOTE_DISTANCE_MS = 50

const FAILURE_LIMIT = 3
const UNLISTED_RETENTION_MS = 10_000
/** Time without a response after which unlisted and leaving upstreams are probed, in milliseconds. */
const SILENT_PROBE_MS = 2000
/** Maximum number of removed upstreams whose leaving mark is kept; the oldest is dropped first. */
const FORGOTTEN_LEAVING_LIMIT = 4096
/**
 * Lifetime of a peer's announcement in milliseconds. Peers announce every second, so their work counts as unknown after
 * three missed announcements.
 */
const PEER_WORK_LIFETIME_MS = 3000

interface PeerWork {
  work: Readonly<Record<string, number>>
  receivedAt: MonotonicMilliseconds
}

export function createUpstreamRegistry (options: UpstreamRegistryOptions): UpstreamRegistry {
  const failureLimit = options.failureLimit ?? FAILURE_LIMIT
  const unlistedRetention = options.keepUnlistedMilliseconds ?? UNLISTED_RETENTION_MS
  const remoteDistance = options.remoteDistanceMilliseconds ?? REMOTE_DISTANCE_MS
  const hasRoom = options.hasRoom ?? (() => true)
  const states = new Map<string, UpstreamState>()
  const peerWorkByName = new Map<string, PeerWork>()
  /** Incarnations that were leaving when they were removed, so that a stale list cannot make them usable again. */
  const forgottenLeaving = new Map<string, Incarnation>()
  let newestListTime = -Infinity

  function emit (kind: UpstreamEventKind, state: UpstreamState): void {
    options.onEvent?.({ kind, upstream: state.listing.name, incarnation: state.incarnation })
  }

  function setLeaving (state: UpstreamState, asOf?: WallClockMilliseconds): void {
    state.leavingAsOf = asOf
    if (state.leaving) return
    state.leaving = true
    emit('leaving', state)
  }

  function applyIncarnation (state: UpstreamState, incarnation: Incarnation): void {
    if (adoptIncarnation(state, incarnation)) emit('restarted', state)
    if (state.incarnation !== 0 && forgottenLeaving.get(state.listing.name) === state.incarnation) setLeaving(state)
  }

  function forget (state: UpstreamState): void {
    const { name } = state.listing
    states.delete(name)
    forgottenLeaving.delete(name)
    if (state.leaving) forgottenLeaving.set(name, state.incarnation)
    if (forgottenLeaving.size > FORGOTTEN_LEAVING_LIMIT) forgottenLeaving.delete(forgottenLeaving.keys().next().value!)
    emit('lost', state)
  }

  function applyListing (listing: ListedInstance, asOf: WallClockMilliseconds, now: MonotonicMilliseconds): void {
    let state = states.get(listing.name)
    if (state === undefined) {
      state = createUpstreamState(listing, now)
      states.set(listing.name, state)
      emit('found', state)
    }
    state.listing = listing
    state.listed = true
    // Incarnations are start times: a list created before the start refers to the previous process.
    if (listing.state === 'leaving' && asOf >= state.incarnation) setLeaving(state, asOf)
    // While the incarnation is unknown, a newer list is the only indication that a service was restarted.
    if (listing.state === 'live' && state.incarnation === 0 && asOf > (state.leavingAsOf ?? Infinity)) {
      state.leaving = false
      state.leavingAsOf = undefined
    }
  }

  /**
   * Announced tokens by upstream, summed over all peers. Cached until an announcement arrives or expires, since every
   * routing decision reads them.
   */
  let peerSums: { tokens: Map<string, number>, validUntil: MonotonicMilliseconds } | undefined

  function peerTokens (upstream: string, now: MonotonicMilliseconds): number {
    if (peerSums === undefined || now > peerSums.validUntil) {
      peerSums = { tokens: new Map(), validUntil: Infinity }
      for (const { work, receivedAt } of peerWorkByName.values()) {
        if (now - receivedAt > PEER_WORK_LIFETIME_MS) continue
        peerSums.validUntil = Math.min(peerSums.validUntil, receivedAt + PEER_WORK_LIFETIME_MS)
        for (const name of Object.keys(work)) {
          peerSums.tokens.set(name, (peerSums.tokens.get(name) ?? 0) + work[name]!)
        }
      }
    }
    return peerSums.tokens.get(upstream) ?? 0
  }

  const isSuspected = (state: UpstreamState): boolean => state.failures >= failureLimit
  const isUsable = (state: UpstreamState): boolean => !state.leaving && !isSuspected(state)
  const distanceTo = (state: UpstreamState): number =>
    state.listing.dataCentre === options.dataCentre ? 0 : remoteDistance

  function viewOf (state: UpstreamState, now: MonotonicMilliseconds): UpstreamView {
    const { name, kind, dataCentre, endpoint, service } = state.listing
    return {
      name,
      kind: kind === 'service' ? 'service' : 'engine',
      dataCentre,
      endpoint,
      service,
      incarnation: state.incarnation,
      leaving: state.leaving,
      suspected: isSuspected(state),
      listed: state.listed,
      loaded: state.report?.loaded ?? [],
      inFlight: state.inFlight.size,
      queuedTokens: queuedTokens(state, peerTokens(name, now), now),
      prefillTokensPerSecond: prefillRate(state)
    }
  }

  const views = (selected: Iterable<UpstreamState>, now: MonotonicMilliseconds): UpstreamView[] =>
    [...selected].map(state => viewOf(state, now))

  return {
    applyList (instances, asOf, now) {
      if (asOf < newestListTime) return
      newestListTime = asOf
      const listed = new Set<string>()
      for (const listing of instances) {
        if (listing.kind === 'router') continue
        listed.add(listing.name)
        applyListing(listing, asOf, now)
      }
      for (const state of states.values()) state.listed = listed.has(state.listing.name)
    },
    applyReport (upstream, report, now) {
      const state = states.get(upstream)
      if (state === undefined || report.incarnation < state.incarnation) return
      applyIncarnation(state, report.incarnation)
      adoptReport(state, report, now)
      state.lastResponseAt = now
      // A report clears the suspicion only after the back-off: requests may fail although the report endpoint responds.
      if (!isSuspected(state) || now >= state.probeAt) noteSuccess(state, now)
      if (report.leaving) setLeaving(state)
    },
    applyPeerWork (peer, work, now) {
      peerWorkByName.set(peer, { work, receivedAt: now })
      peerSums = undefined
    },
    markLeaving (upstream, incarnation) {
      const state = states.get(upstream)
      if (state === undefined || (incarnation !== 0 && incarnation < state.incarnation)) return
      applyIncarnation(state, incarnation)
      setLeaving(state)
    },
    startWork (upstream, identifier, tokens, now) {
      const state = states.get(upstream)
      if (state !== undefined) beginWork(state, identifier, tokens, now)
    },
    finishPrefill (upstream, identifier, outcome) {
      const state = states.get(upstream)
      return state === undefined ? 0 : endPrefill(state, identifier, outcome)
    },
    finishWork (upstream, identifier) {
      const state = states.get(upstream)
      if (state !== undefined) endWork(state, identifier)
    },
    recordFailure (upstream, now) {
      const state = states.get(upstream)
      if (state !== undefined) noteFailure(state, failureLimit, now)
    },
    recordSuccess (upstream, now, incarnation = 0) {
      const state = states.get(upstream)
      if (state === undefined || (incarnation !== 0 && incarnation < state.incarnation)) return
      applyIncarnation(state, incarnation)
      noteSuccess(state, now)
    },
    candidates (model, version, adapter, now) {
      const required = adapter === '' ? `${model}@${version}` : `${model}@${version}+${adapter}`
      const found: RoutingCandidate[] = []
      for (const state of states.values()) {
        const { name, dataCentre } = state.listing
        if (!isUsable(state) || state.report === undefined || !state.report.loaded.includes(required)) continue
        found.push({
          upstream: name,
          dataCentre,
          incarnation: state.incarnation,
          queuedTokens: queuedTokens(state, peerTokens(name, now), now),
          prefillTokensPerSecond: prefillRate(state),
          distanceMilliseconds: distanceTo(state),
          hasCapacity: hasRoom(name)
        })
      }
      return found
    },
    services (name, now) {
      const selected = [...states.values()].filter(state =>
        state.listing.kind === 'service' && state.listing.service === name && isUsable(state))
      selected.sort((left, right) => distanceTo(left) - distanceTo(right) || left.inFlight.size - right.inFlight.size)
      return views(selected, now)
    },
    probesDue (now) {
      return views([...states.values()].filter(state => {
        if (isSuspected(state)) return now >= state.probeAt
        if (state.incarnation === 0) return true
        return (!state.listed || state.leaving) && now - state.lastResponseAt >= SILENT_PROBE_MS
      }), now)
    },
    expire (now) {
      for (const state of states.values()) {
        if (state.listed || now - state.lastResponseAt <= unlistedRetention) continue
        forget(state)
      }
      for (const [peer, { receivedAt }] of peerWorkByName) {
        if (now - receivedAt > PEER_WORK_LIFETIME_MS) peerWorkByName.delete(peer)
      }
    },
    ownWork () {
      const work: Record<string, number> = {}
      for (const [name, state] of states) {
        const tokens = ownQueuedTokens(state)
        if (tokens > 0) work[name] = tokens
      }
      return work
    },
    upstreams: now => views(states.values(), now),
    upstream (name, now) {
      const state = states.get(name)
      return state === undefined ? undefined : viewOf(state, now)
    }
  }
}
