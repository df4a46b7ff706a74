/** Messages between router instances. Each message is one CBOR value in a length-prefixed frame. */
import type { ConfigurationRevision, Endpoint, Incarnation, InstanceState, KeyRecord } from '../types'
import type { LoanReply, LoanRequest } from '../quota/types'
import type { InstanceList } from '../platform/types'
import type { RolloutRecord, RolloutSample } from '../rollout/types'

/** Version of the peer protocol. Connections between different versions are rejected. */
export const PEER_PROTOCOL_VERSION = 1

/** First message in each direction. */
export interface Greeting {
  kind: 'greeting'
  protocol: number
  instance: string
  incarnation: Incarnation
  dataCentre: string
  /** Address at which the sender accepts peer connections. */
  endpoint: Endpoint
}

/** Liveness and load report, sent every second to each connected peer. */
export interface Heartbeat {
  kind: 'heartbeat'
  state: InstanceState
  revision: number
  /** Highest key version known to the sender. */
  keyVersion: number
  /** Work in flight from the sender in tokens, by upstream name. */
  work: Readonly<Record<string, number>>
  /** Hybrid logical clock; allows the logs of all processes to be ordered causally. */
  clock: string
}

/** Requests everything a starting instance needs. */
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
  /** Newest instance list known to the sender; an instance starting during a platform outage finds upstreams in it. */
  instances: InstanceList | undefined
}

/** New configuration revision; the receiver applies it if it is higher than its own. */
export interface ConfigurationNotice {
  kind: 'configurationNotice'
  configuration: ConfigurationRevision
}

/** Changed keys; the receiver applies each key with a higher version, and never grants a withdrawn key again. */
export interface KeyNotice {
  kind: 'keyNotice'
  keys: readonly KeyRecord[]
}

/** Reports that a request with this fingerprint was in flight on an upstream incarnation that crashed. */
export interface CrashNotice {
  kind: 'crashNotice'
  fingerprint: string
  upstream: string
  incarnation: Incarnation
  /** Age of the observation in milliseconds when the notice is sent. */
  age: number
}

export interface LoanRequestMessage extends LoanRequest {
  kind: 'loanRequest'
}

export interface LoanReplyMessage extends LoanReply {
  kind: 'loanReply'
}

/** Measurements by which the leader of a rollout evaluates it. */
export interface RolloutSampleMessage {
  kind: 'rolloutSample'
  samples: readonly RolloutSample[]
}

/** State of a rollout; the receiver keeps the record with the highest fencing token and, within it, highest step. */
export interface RolloutNotice {
  kind: 'rolloutNotice'
  record: RolloutRecord
}

export type PeerMessage =
  | Greeting | Heartbeat | SnapshotRequest | SnapshotReply | ConfigurationNotice | KeyNotice | CrashNotice
  | LoanRequestMessage | LoanReplyMessage | RolloutSampleMessage | RolloutNotice

export type PeerMessageKind = PeerMessage['kind']
