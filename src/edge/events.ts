/** Log events of the edge. */
export const EdgeEvent = {
  started: 'edge.started',
  stopping: 'edge.stopping',
  stopped: 'edge.stopped',
  reloaded: 'edge.reloaded',
  fault: 'edge.fault',
  requestRouted: 'request.routed',
  requestRefused: 'request.refused',
  requestFinished: 'request.finished',
  requestCancelled: 'request.cancelled',
  answerBrokenOff: 'request.broken_off',
  attemptFailed: 'attempt.failed',
  attemptRejected: 'attempt.rejected',
  configurationAccepted: 'configuration.accepted',
  configurationIgnored: 'configuration.ignored',
  upstreamFound: 'upstream.found',
  upstreamLost: 'upstream.lost',
  upstreamLeaving: 'upstream.leaving',
  /** An engine did not respond to a liveness check. */
  upstreamSilent: 'upstream.silent',
  /** The upstream asked for no requests for some time. */
  upstreamRests: 'upstream.rests',
  upstreamRestarted: 'upstream.restarted',
  upstreamUnreadable: 'upstream.unreadable',
  /** Another instance reported the upstream as unreachable. */
  upstreamDoubted: 'upstream.doubted',
  instancesChanged: 'instances.changed',
  peerLost: 'peer.lost',
  peerRegained: 'peer.regained',
  peerConnectionEnded: 'peer.connection_ended',
  peerWordRefused: 'peer.word_refused',
  relayRefused: 'relay.refused',
  storeLost: 'store.lost',
  storeRegained: 'store.regained',
  weightsNamed: 'weights.named',
  weightsOrdered: 'weights.ordered',
  weightsOrderFailed: 'weights.order_failed',
  moveAsked: 'move.asked',
  moveShare: 'move.share',
  moveTakenBack: 'move.taken_back',
  moveReported: 'move.reported',
  moveFailed: 'move.failed',
  leaseTaken: 'lease.taken',
  leaseLost: 'lease.lost'
} as const
export type EdgeEvent = typeof EdgeEvent[keyof typeof EdgeEvent]

/** Returns the text of a caught value for a log line. */
export function reasonOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

export type EdgeLog = (event: EdgeEvent, fields?: Readonly<Record<string, unknown>>) => void
