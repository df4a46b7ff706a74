/** Messages between router instances. Each is one cbor-x value in a length-prefixed frame. */
import type { ConfigurationRevision, Endpoint, Incarnation, InstanceState, KeyRecord } from '../types'
import type { LoanReply, LoanRequest } from '../quota/types'
import type { InstanceList } from '../platform/types'
import type { RolloutRecord, RolloutSample } from '../rollout/types'

/** Version of the peer protocol; connections between different versions are refused. */
export const PEER_PROTOCOL_VERSION = 1

/** First frame in both directions. */
export interface Greeting {
  kind: 'greeting'
  protocol: number
  instance: string
  incarnation: Incarnation
  dataCentre: string
  /** Where this instance accepts peers. */
  endpoint: Endpoint
}

/** Sent every second to each connected peer. */
export interface Heartbeat {
  kind: 'heartbeat'
  state: InstanceState
  revision: number
  /** Highest key version known. */
  keyVersion: number
  /** Tokens of work that this instance has in flight, by upstream name. */
  work: Readonly<Record<string, number>>
  /** Hybrid logical clock, so that logs of all processes can be put into causal order. */
  clock: string
}

/** Asks for everything a starting instance needs. */
export interface SnapshotRequest {
  kind: 'snapshotRequest'
  identifier: number
}

export interface SnapshotReply {
  kind: 'snapshotReply'
  identifier: number
  configuration: ConfigurationRevision | undefined
  keys: readonly KeyRecord[]
  crashes: readonly CrashNotice[]
  rollouts: readonly RolloutRecord[]
  /** Newest instance list that the sender has; lets an instance that starts during a platform outage find upstreams. */
  instances: InstanceList | undefined
}

/** A new revision; the receiver keeps it when it is higher than its own. */
export interface ConfigurationNotice {
  kind: 'configurationNotice'
  configuration: ConfigurationRevision
}

/** Changed keys; the receiver keeps each one whose version is higher, and never grants a withdrawn one again. */
export interface KeyNotice {
  kind: 'keyNotice'
  keys: readonly KeyRecord[]
}

/** A request with this fingerprint was in flight on an upstream incarnation that died. */
export interface CrashNotice {
  kind: 'crashNotice'
  fingerprint: string
  upstream: string
  incarnation: Incarnation
  /** Age of the observation in milliseconds at sending. */
  age: number
}

export interface LoanRequestMessage extends LoanRequest {
  kind: 'loanRequest'
}

export interface LoanReplyMessage extends LoanReply {
  kind: 'loanReply'
}

/** Counts for the judgement of a rollout, sent to its leader. */
export interface RolloutSampleMessage {
  kind: 'rolloutSample'
  samples: readonly RolloutSample[]
}

/** State of a rollout; the receiver keeps the highest fencing token and, within it, the highest step. */
export interface RolloutNotice {
  kind: 'rolloutNotice'
  record: RolloutRecord
}

export type PeerMessage =
  | Greeting | Heartbeat | SnapshotRequest | SnapshotReply | ConfigurationNotice | KeyNotice | CrashNotice
  | LoanRequestMessage | LoanReplyMessage | RolloutSampleMessage | RolloutNotice

export type PeerMessageKind = PeerMessage['kind']
