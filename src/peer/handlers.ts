/** What an instance does with each kind of message from a peer. */
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

/** Crash notices in one snapshot, the newest; keeps the reply below the frame limit. */
const SNAPSHOT_CRASHES = 2000

/** Milliseconds between two snapshot requests to the same peer, when its heartbeats show that it knows more. */
const CATCH_UP_INTERVAL_MS = 2000

/** Key records in one message; 1,000 take about 150 KB, far below the frame limit. */
const KEYS_PER_MESSAGE = 1000

/** Splits key records into messages below the frame limit. */
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
  /** True when this instance passes news on: a relay in a fleet without a full mesh. */
  forwards: () => boolean
  /** A peer's heartbeat came. */
  onHeartbeat: (peer: PeerIdentity, message: Heartbeat) => void
  /** A snapshot with a configuration came: keys and configuration are known. */
  onSnapshot: (peer: PeerIdentity) => void
  /** Newest instance list known. */
  instances: () => InstanceList | undefined
  /** Takes in an instance list from a peer; an older one changes nothing. */
  takeInstances: (list: InstanceList) => void
  /** A loan came; waiting requests can be tried again. */
  onLoan: () => void
  /** Crash counts changed; waiting work may have to be refused. */
  onCrashes: () => void
  log: EventLog
  now: () => MonotonicMilliseconds
  wallClock: () => WallClockMilliseconds
}

export interface PeerHandlers {
  handle: (peer: PeerIdentity, message: Exclude<PeerMessage, Greeting>) => void
  /** Asks a peer for everything it knows. */
  requestSnapshot: (peer: string) => void
}

type Handlers = {
  [Kind in Exclude<PeerMessageKind, 'greeting'>]:
  (peer: PeerIdentity, message: Extract<PeerMessage, { kind: Kind }>) => void
}

export function createPeerHandlers (options: PeerHandlersOptions): PeerHandlers {
  const { tracker, keys, accounts, loans, crashes, rollouts, log, now } = options
  const askedAt = new Map<string, MonotonicMilliseconds>()
  let snapshots = 0

  function requestSnapshot (peer: string): void {
    snapshots += 1
    askedAt.set(peer, now())
    options.node().send(peer, { kind: 'snapshotRequest', identifier: snapshots })
  }

  /**
   * Passes news on to all but the peer that they came from. In a full mesh the sender has reached everybody itself. Only
   * news are passed on, so that this ends.
   */
  function forward (message: PeerMessage, from: PeerIdentity): void {
    if (!options.forwards()) return
    options.node().broadcast(message, (peer) => peer.instance !== from.instance)
  }

  function takeConfiguration (notice: ConfigurationNotice, from: PeerIdentity): void {
    const { revision } = notice.configuration
    if (tracker.offer(notice.configuration)) {
      log(LogEvent.configurationAccepted, { revision, source: from.instance })
      forward(notice, from)
    } else if (revision < tracker.revision()) {
      log(LogEvent.configurationIgnored, { revision, peer: from.instance }, 'debug')
    }
  }

  function takeKeys (notice: KeyNotice, from: PeerIdentity): void {
    const changed = keys.apply(notice.keys)
    for (const record of changed) {
      const event = record.state === 'withdrawn' ? LogEvent.keyWithdrawn : LogEvent.keyChanged
      log(event, { customer: record.customer, keyVersion: record.version, peer: from.instance })
    }
    for (const part of keyNotices(changed)) forward(part, from)
  }

  function takeCrash (notice: CrashNotice, from: PeerIdentity): void {
    if (!crashes.applyNotice(notice, now())) return
    log(LogEvent.crashCounted, { upstream: notice.upstream, incarnation: notice.incarnation, peer: from.instance }, 'warn')
    options.onCrashes()
    forward(notice, from)
  }

  function takeSnapshot (from: PeerIdentity, reply: SnapshotReply): void {
    if (reply.configuration !== undefined) {
      takeConfiguration({ kind: 'configurationNotice', configuration: reply.configuration }, from)
    }
    if (reply.keys.length > 0) takeKeys({ kind: 'keyNotice', keys: reply.keys }, from)
    for (const notice of reply.crashes) takeCrash(notice, from)
    for (const record of reply.rollouts) rollouts.offer(record)
    if (reply.instances !== undefined) options.takeInstances(reply.instances)
    if (reply.configuration !== undefined) options.onSnapshot(from)
  }

  const handlers: Handlers = {
    heartbeat (peer, message) {
      options.clock.observe(message.clock, options.wallClock())
      options.registry.applyPeerWork(peer.instance, message.work, now())
      options.onHeartbeat(peer, message)
      const behind = message.revision > tracker.revision() || message.keyVersion > keys.version()
      const due = now() - (askedAt.get(peer.instance) ?? -Infinity) >= CATCH_UP_INTERVAL_MS
      if (behind && due) requestSnapshot(peer.instance)
    },
    snapshotRequest (peer, { identifier }) {
      // Keys that do not fit into one frame go first, so that the snapshot completes what the peer needs.
      const [last, ...others] = keyNotices(keys.records()).reverse()
      for (const part of others) options.node().send(peer.instance, part)
      options.node().send(peer.instance, {
        kind: 'snapshotReply',
        identifier,
        configuration: tracker.current(),
        keys: last?.keys ?? [],
        crashes: crashes.notices(now()).slice(-SNAPSHOT_CRASHES),
        rollouts: rollouts.records(),
        instances: options.instances()
      })
    },
    snapshotReply: takeSnapshot,
    configurationNotice: (peer, message) => { takeConfiguration(message, peer) },
    keyNotice: (peer, message) => { takeKeys(message, peer) },
    crashNotice: (peer, message) => { takeCrash(message, peer) },
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
      if (!rollouts.offer(message.record)) return
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
