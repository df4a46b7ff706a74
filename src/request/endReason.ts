/** Reason why a request ended without a whole answer, for the log. One for each limit or rule that can end a request. */
export const EndReason = {
  /** An attempt may have run, and the request may not be repeated. */
  notRepeatable: 'not_repeatable',
  /** `MAXIMUM_ATTEMPTS` were made. */
  attemptsUsed: 'attempts_used',
  /** The time limit of the request. */
  deadline: 'deadline',
  /** Nothing was delivered, and the retry budget permits no further attempt. */
  retryBudget: 'retry_budget',
  crashing: 'crashing',
  callerDisconnected: 'caller_gone',
  /** The caller kept its connection open without reading. */
  callerNotReading: 'caller_not_reading',
  /** The time limit of new work in the queue. */
  queueWait: 'queue_wait',
  noUpstream: 'no_upstream',
  /** The customer's requests in progress use their share of the heap, or of the connections to upstreams. */
  share: 'share',
  /** No memory was left for the body. */
  memory: 'memory'
} as const
export type EndReason = typeof EndReason[keyof typeof EndReason]
