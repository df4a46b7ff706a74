/** Log events of the edge. */
export const EdgeEvent = {
  started: 'edge.started',
  stopping: 'edge.stopping',
  stopped: 'edge.stopped',
  reloaded: 'edge.reloaded',
  fault: 'edge.fault',
  /** An address at which the daemon listens is taken; it waits until it is free. */
  listenerWaiting: 'listener.waiting',
  /** A connection could not be accepted. */
  listenerFailed: 'listener.failed',
  /** A caller's connection will be closed after the responses in progress, because bytes came that are no request. */
  callerConnectionClosing: 'caller.connection_closing',
  /** A caller's connection gave up what it holds, because it made no progress while much memory was held. */
  callerConnectionShed: 'caller.connection_shed',
  /** Connections of callers were closed when they were opened, because there were too many. */
  callerConnectionsRefused: 'caller.connections_refused',
  /** A request was not handled, because it came behind the announced end of its connection. */
  requestDiscarded: 'request.discarded',
  requestRouted: 'request.routed',
  requestRejected: 'request.refused',
  /** A request waits for a moment before it is admitted or refused, because the upstreams have no room. */
  requestHeld: 'request.held',
  requestFinished: 'request.finished',
  requestCancelled: 'request.cancelled',
  responseAborted: 'request.broken_off',
  /** A request was not sent to an upstream because of the upstream's request limit. */
  permitDenied: 'permit.denied',
  attemptFailed: 'attempt.failed',
  attemptRejected: 'attempt.rejected',
  /** The attempt that was to take over a request was cancelled, because the one before made progress. */
  takeoverCancelled: 'attempt.cancelled',
  /** A request was sent once more, because its upstream closed a kept connection, perhaps before the request arrived. */
  requestResent: 'request.resent',
  configurationAccepted: 'configuration.accepted',
  configurationIgnored: 'configuration.ignored',
  upstreamFound: 'upstream.found',
  upstreamLost: 'upstream.lost',
  upstreamLeaving: 'upstream.leaving',
  /** An engine did not respond to a liveness check. */
  upstreamSilent: 'upstream.silent',
  /** The upstream asked for no requests for some time. */
  upstreamBackingOff: 'upstream.rests',
  /** The upstream named a limit of requests per second for all instances together, or another one than before. */
  upstreamLimited: 'upstream.limited',
  /** The upstream completed a request without naming a limit any more. */
  upstreamLimitEnded: 'upstream.limit_ended',
  /** The upstream named a limit that cannot be parsed. */
  upstreamLimitUnreadable: 'upstream.limit_unreadable',
  /** An upstream is cold, or for longer than known before; it takes a limited rate from all instances together. */
  upstreamCold: 'upstream.cold',
  /** The operator evacuates a data centre; nothing is sent to its upstreams. */
  dataCentreEvacuated: 'data_centre.evacuated',
  dataCentreEvacuationEnded: 'data_centre.evacuation_ended',
  upstreamRestarted: 'upstream.restarted',
  upstreamUnreadable: 'upstream.unreadable',
  /** Another instance reported the upstream as unreachable. */
  upstreamSuspected: 'upstream.doubted',
  /** An upstream crashed with requests in flight. */
  upstreamCrashed: 'upstream.crashed',
  /** A lost connection was not taken for a crash, because nothing showed that the run has ended. */
  lossDropped: 'upstream.loss_dropped',
  /** Several upstreams have crashed with these traits in flight, or further ones have. */
  crashCauseSuspected: 'crash_cause.suspected',
  /** Requests with this trait are rejected, because upstreams crash when they answer them. */
  crashCauseFound: 'crash_cause.found',
  /** A request with the trait was answered; such requests are served again. */
  crashCauseCleared: 'crash_cause.cleared',
  /** One request with the trait is sent, to find out whether upstreams still crash. */
  crashTrialStarted: 'crash_cause.tried',
  /** Another data centre gets no requests for a while, because part of its upstreams cannot be reached. */
  dataCentreClosed: 'data_centre.closed',
  instancesChanged: 'instances.changed',
  peerLost: 'peer.lost',
  peerRegained: 'peer.regained',
  peerConnectionEnded: 'peer.connection_ended',
  peerNotificationRejected: 'peer.word_refused',
  relayRejected: 'relay.refused',
  storeLost: 'store.lost',
  storeRegained: 'store.regained',
  /** The store has come back from an older copy. */
  storeEraChanged: 'store.era_changed',
  targetWeightsChanged: 'weights.named',
  weightsCommandSent: 'weights.ordered',
  weightsCommandFailed: 'weights.order_failed',
  rolloutRequested: 'move.asked',
  rolloutShareChanged: 'move.share',
  rolloutRolledBack: 'move.taken_back',
  rolloutStatusReported: 'move.reported',
  rolloutTaskFailed: 'move.failed',
  leaseAcquired: 'lease.taken',
  leaseLost: 'lease.lost'
} as const
export type EdgeEvent = typeof EdgeEvent[keyof typeof EdgeEvent]

/** Returns the text of a caught value for a log line. */
export function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

export type EdgeLog = (event: EdgeEvent, fields?: Readonly<Record<string, unknown>>) => void
