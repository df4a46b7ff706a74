/** Catalogue of log events. Every log line carries one of these names in its `event` field. */
export const LogEvent = {
  daemonStarted: 'daemon.started',
  daemonReady: 'daemon.ready',
  daemonStopping: 'daemon.stopping',
  daemonStopped: 'daemon.stopped',
  callerConnectionClosing: 'caller.connection_closing',
  callerConnectionShed: 'caller.connection_shed',
  requestDiscarded: 'request.discarded',
  requestReceived: 'request.received',
  requestRefused: 'request.refused',
  requestRouted: 'request.routed',
  requestFinished: 'request.finished',
  requestFailed: 'request.failed',
  requestCancelled: 'request.cancelled',
  attemptFailed: 'attempt.failed',
  attemptSilent: 'attempt.silent',
  attemptCancelled: 'attempt.cancelled',
  attemptResumed: 'attempt.resumed',
  upstreamFound: 'upstream.found',
  upstreamLost: 'upstream.lost',
  upstreamLeaving: 'upstream.leaving',
  upstreamRestarted: 'upstream.restarted',
  cacheEventsLost: 'upstream.cache_events_lost',
  crashCounted: 'upstream.crash_counted',
  peerConnected: 'peer.connected',
  peerDisconnected: 'peer.disconnected',
  peerProtocolError: 'peer.protocol_error',
  platformUnavailable: 'platform.unavailable',
  platformAvailable: 'platform.available',
  configurationAccepted: 'configuration.accepted',
  configurationIgnored: 'configuration.ignored',
  keyChanged: 'key.changed',
  keyWithdrawn: 'key.withdrawn',
  quotaGranted: 'quota.granted',
  quotaReclaimed: 'quota.reclaimed',
  loanGiven: 'quota.loan_given',
  loanTaken: 'quota.loan_taken',
  rolloutStep: 'rollout.step',
  rolloutLocalBrake: 'rollout.local_brake',
  rolloutRolledBack: 'rollout.rolled_back',
  rolloutFinished: 'rollout.finished'
} as const
export type LogEvent = typeof LogEvent[keyof typeof LogEvent]

/** Fields that identify the subject of a log line. No field may contain an API key. */
export interface LogFields {
  requestIdentifier?: string
  attempt?: number
  customer?: string
  upstream?: string
  peer?: string
  model?: string
  version?: string
  rollout?: string
  revision?: number
  errorCode?: string
  [field: string]: unknown
}

/** Writes one event. Injected into modules so that they do not depend on the logging library. */
export type EventLog = (event: LogEvent, fields?: LogFields, level?: 'debug' | 'info' | 'warn' | 'error') => void

/** Counters, gauges and timings. Injected into modules so that they do not depend on the metrics library. */
export interface Metrics {
  increment: (name: string, tags?: Readonly<Record<string, string>>, value?: number) => void
  gauge: (name: string, value: number, tags?: Readonly<Record<string, string>>) => void
  /** Records a duration in milliseconds. */
  timing: (name: string, milliseconds: number, tags?: Readonly<Record<string, string>>) => void
}
