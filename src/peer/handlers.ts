/** Handlers for each kind of message from a peer. */
import type { RevisionTracker } from '../configuration/revisionTracker'
import type { KeySet } from '../customer/keys'
import { LogEvent } from '../observability/events'
import type { EventLog } from '../observability/events'
import type { HybridClock } from '../observability/hybridClock'
import type { InstanceList } from '../platform/types'
import type { InstanceQuotaAccounts } from '../quota/accounts'
import type { LoanPlanner } from '../quota/borrowing'
import type { RolloutLeader } from '../rollout/leader'
import type { RolloutView } from '../rollout/view'
import type { CrashLedger } from '../upstream/crashLedger'
import type { UpstreamRegistry } from '../upstream/registryTypes'
import type { KeyRecord, MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import type {
  ConfigurationNotice, CrashNotice, Greeting, Heartbeat, KeyNotice, PeerMessage, PeerMessageKind, SnapshotReply
} from './messages'
import type { PeerIdentity, PeerNode } from './node'

/** Maximum number of crash notices in a snapshot; only the newest are sent, to keep the reply below the frame limit. */
const MAXIMUM_SNAPSHOT_CRASHES = 2000

/** Minimum time in milliseconds between snapshot requests to a peer whose heartbeats report newer state. */
const SNAPSHOT_REQUEST_INTERVAL_MS = 2000

/** Maximum number of key records in one message; 1,000 take about 150 KB, far below the frame limit. */
const KEYS_PER_MESSAGE = 1000

/** Splits key records into messages that stay below the frame limit. */
export function keyNotices (records: readonly KeyRecord[]): KeyNotice[] {
  const notices: KeyNotice[] = []
  for (let start = 0; start < records.length; start += KEYS_PER_MESSAGE) {
    notices.push({ kind: 'keyNotice', keys: records.slice(start, start + KEYS_PER_MESSAGE) })
  }
  return notices
}

export interface PeerHandlersOptions {
  node: () => Pick<PeerNode, 'send' | 'broadcast'>
  tracker: RevisionTracker
  keys: KeySet
  accounts: Pick<InstanceQuotaAccounts, 'lend'>
  loans: Pick<LoanPlanner, 'receive'>
  registry: Pick<UpstreamRegistry, 'applyPeerWork'>
  crashes: CrashLedger
  rollouts: RolloutView
  leader: () => Pick<RolloutLeader, 'addSamples'>
  clock: HybridClock
  /** Returns true if this instance forwards updates to other peers, that is, a relay in a fleet without a full mesh. */
  forwards: () => boolean
  /** Called when a peer's heartbeat was received. */
  onHeartbeat: (peer: PeerIdentity, message: Heartbeat) => void
  /** Called when a snapshot with a configuration was applied, so that keys and configuration are known. */
  onSnapshot: (peer: PeerIdentity) => void
  /** Returns the newest known instance list. */
  instances: () => InstanceList | undefined
  /** Applies an instance list from a peer unless it is older than the known one. */
  applyInstances: (list: InstanceList) => void
  /** Called when a reply to a loan request was received, so that queued requests can be retried. */
  onLoan: () => void
  /** Called when crash counts changed, because queued requests may have to be rejected. */
  onCrashes: () => void
  log: EventLog
  now: () => MonotonicMilliseconds
  wallClock: () => WallClockMilliseconds
}

export interface PeerHandlers {
  handle: (peer: PeerIdentity, message: Exclude<PeerMessage, Greeting>) => void
  /** Requests a snapshot of everything a starting instance needs from a peer. */
  requestSnapshot: (peer: string) => void
}

type Handlers = {
  [Kind in Exclude<PeerMessageKind, 'greeting'>]:
  (peer: PeerIdentity, message: Extract<PeerMessage, { kind: Kind }>) => void
}

export function createPeerHandlers (options: PeerHandlersOptions): PeerHandlers {
  const { tracker, keys, accounts, loans, crashes, rollouts, log, now } = options
  const snapshotRequestedAt = new Map<string, MonotonicMilliseconds>()
  let snapshotRequests = 0

  function requestSnapshot (peer: string): void {
    snapshotRequests += 1
    snapshotRequestedAt.set(peer, now())
    options.node().send(peer, { kind: 'snapshotRequest', identifier: snapshotRequests })
  }

  /**
   * Forwards an update to all peers except the sender. This is not needed in a full mesh, where the sender reaches
   * every instance itself. Callers forward only updates that changed local state, so that forwarding terminates.
   */
  function forward (message: PeerMessage, from: PeerIdentity): void {
    if (!options.forwards()) return
    options.node().broadcast(message, (peer) => peer.instance !== from.instance)
  }

  function applyConfiguration (notice: ConfigurationNotice, from: PeerIdentity): void {
    const { revision } = notice.configuration
    if (tracker.offer(notice.configuration)) {
      log(LogEvent.configurationAccepted, { revision, source: from.instance })
      forward(notice, from)
    } else if (revision < tracker.revision()) {
      log(LogEvent.configurationIgnored, { revision, peer: from.instance }, 'debug')
    }
  }

  function applyKeys (notice: KeyNotice, from: PeerIdentity): void {
    const changed = keys.apply(notice.keys)
    for (const record of changed) {
      const event = record.state === 'withdrawn' ? LogEvent.keyWithdrawn : LogEvent.keyChanged
      log(event, { customer: record.customer, keyVersion: record.version, peer: from.instance })
    }
    for (const changedNotice of keyNotices(changed)) forward(changedNotice, from)
  }

  function applyCrashNotice (notice: CrashNotice, from: PeerIdentity): void {
    if (!crashes.applyNotice(notice, now())) return
    log(LogEvent.crashCounted, { upstream: notice.upstream, incarnation: notice.incarnation, peer: from.instance }, 'warn')
    options.onCrashes()
    forward(notice, from)
  }

  function applySnapshot (from: PeerIdentity, reply: SnapshotReply): void {
    if (reply.configuration !== undefined) {
      applyConfiguration({ kind: 'configurationNotice', configuration: reply.configuration }, from)
    }
    if (reply.keys.length > 0) applyKeys({ kind: 'keyNotice', keys: reply.keys }, from)
    for (const notice of reply.crashes) applyCrashNotice(notice, from)
    for (const record of reply.rollouts) rollouts.applyIfNewer(record)
    if (reply.instances !== undefined) options.applyInstances(reply.instances)
    if (reply.configuration !== undefined) options.onSnapshot(from)
  }

  const handlers: Handlers = {
    heartbeat (peer, message) {
      options.clock.observe(message.clock, options.wallClock())
      options.registry.applyPeerWork(peer.instance, message.work, now())
      options.onHeartbeat(peer, message)
      const isBehind = message.revision > tracker.revision() || message.keyVersion > keys.version()
      const isDue = now() - (snapshotRequestedAt.get(peer.instance) ?? -Infinity) >= SNAPSHOT_REQUEST_INTERVAL_MS
      if (isBehind && isDue) requestSnapshot(peer.instance)
    },
    snapshotRequest (peer, { identifier }) {
      // Keys that do not fit into the snapshot's frame are sent first, so that the peer is complete after the snapshot.
      const [last, ...others] = keyNotices(keys.records()).reverse()
      for (const keyNotice of others) options.node().send(peer.instance, keyNotice)
      options.node().send(peer.instance, {
        kind: 'snapshotReply',
        identifier,
        configuration: tracker.current(),
        keys: last?.keys ?? [],
        crashes: crashes.notices(now()).slice(-MAXIMUM_SNAPSHOT_CRASHES),
        rollouts: rollouts.records(),
        instances: options.instances()
      })
    },
    snapshotReply: applySnapshot,
    configurationNotice: (peer, message) => { applyConfiguration(message, peer) },
    keyNotice: (peer, message) => { applyKeys(message, peer) },
    crashNotice: (peer, message) => { applyCrashNotice(message, peer) },
    loanRequest (peer, { kind: _, ...request }) {
      const reply = accounts.lend(request, peer.instance, now())
      options.node().send(peer.instance, { kind: 'loanReply', ...reply })
      if (reply.duration > 0) {
        log(LogEvent.loanGiven, { peer: peer.instance, customer: reply.customer, tokens: reply.tokens, rate: reply.rate }, 'debug')
      }
    },
    loanReply (peer, { kind: _, ...reply }) {
      loans.receive(reply, now())
      if (reply.duration > 0) {
        log(LogEvent.loanTaken, { peer: peer.instance, customer: reply.customer, tokens: reply.tokens, rate: reply.rate }, 'debug')
      }
      options.onLoan()
    },
    rolloutSample (peer, { samples }) { options.leader().addSamples(peer.instance, samples) },
    rolloutNotice (peer, message) {
      if (!rollouts.applyIfNewer(message.record)) return
      forward(message, peer)
    }
  }

  return {
    handle (peer, message) {
      const handler = handlers[message.kind] as (peer: PeerIdentity, message: PeerMessage) => void
      handler(peer, message)
    },
    requestSnapshot
  }
}
