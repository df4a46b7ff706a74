/** Describes a refusal of the admission order for the caller and for the log. */
import { RefusalReason, type OrderRefusal } from './types'

const REASON_TEXTS: Readonly<Record<RefusalReason, string>> = {
  [RefusalReason.share]: 'the engines cannot keep up',
  [RefusalReason.timeLeft]: 'no engine could begin the request in its remaining time',
  [RefusalReason.places]: 'all places of the service are taken'
}

export interface RefusalResponse {
  status: number
  code: string
  message: string
  /** Milliseconds after which the caller should come back. */
  retryAfter: number
  /** Reason for the log. */
  reason: string
  /** Fields for the log. */
  explanation: Readonly<Record<string, unknown>>
}

function rounded (value: number): number {
  return Math.round(value * 1000) / 1000
}

export function describeRefusal ({ reason, retryAfter, explanation }: OrderRefusal): RefusalResponse {
  const { priority, expectedStart, admittedPart, share, probability, isFleetKnown } = explanation
  const text = REASON_TEXTS[reason]
  return {
    status: 503,
    code: 'overloaded',
    message: text,
    retryAfter,
    reason: `${text}: expected start in ${Math.round(expectedStart)} ms`,
    explanation: {
      refusedFor: reason,
      priority,
      expectedStart: Math.round(expectedStart),
      admittedPart: rounded(admittedPart),
      share: rounded(share),
      probability: rounded(probability),
      isFleetKnown
    }
  }
}
