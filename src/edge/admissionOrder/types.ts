/** Types of the admission order. */

export const RefusalReason = {
  /** The share of its group that the engines can serve in time is used by others. */
  share: 'share',
  /** No engine could begin the request in its remaining time. */
  timeLeft: 'timeLeft',
  /** All places of the service are taken. */
  places: 'places'
} as const
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]

/** What a decision was based on, for the log. */
export interface OrderExplanation {
  priority: number
  /** Milliseconds until an upstream could begin the request. */
  expectedStart: number
  /** Part of the whole demand for the service that is admitted. */
  admittedPart: number
  /** Part of the demand of the group that is admitted. */
  share: number
  /** Probability with which the request was admitted. */
  probability: number
  /** Whether the loads of all instances were known. */
  isFleetKnown: boolean
}

export interface OrderRefusal {
  admitted: false
  reason: RefusalReason
  /** Milliseconds after which the caller should come back. */
  retryAfter: number
  /** Milliseconds after which room may be free; 0 if the request should be refused now. */
  holdFor: number
  explanation: OrderExplanation
}

export type OrderDecision = { admitted: true, explanation: OrderExplanation } | OrderRefusal

/** What the order needs to know of one request. */
export interface OrderedRequest {
  service: string
  /** Key of its group. */
  group: number
  priority: number
  /** Prompt and output tokens. */
  cost: number
  /** Latency target of its kind in milliseconds. */
  target: number
  /** Remaining time in milliseconds. */
  timeLeft: number
  /** Part of the usual time budget of its kind that has passed, between 0 and 1. */
  age: number
  /** Uniform in [0, 1); drawn once, so that further decisions do not make a refusal more likely. */
  draw: number
  /** Uniform in [0, 1); spreads the callers that come back. */
  retryDraw: number
}

/** When the engines of a service can begin another request, over the whole fleet. */
export interface ServiceRoom {
  /**
   * Returns the milliseconds until an engine could begin a request: 0 if one has room now, Infinity if none is usable.
   * @param tokens prompt and expected output of the request
   */
  expectedStart: (service: string, tokens: number, now: number) => number
}
