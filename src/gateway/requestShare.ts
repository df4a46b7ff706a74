/** Counts requests for their customers, which share the heap and the connections to upstreams. */
import { OverloadedError } from '../errors'
import { heldFor } from '../http/memoryAccount/connectionMemory'
import { REJECTED_GROUP, requestGroup, shareRetryAfter } from '../http/memoryAccount/requestGroups'
import type { ShareDecision } from '../http/memoryAccount/requestShares'
import { EndReason } from '../request/endReason'
import { ExecutionStatus } from '../types'
import type { Exchange } from './exchange'

const ONE_BYTE_TEXT = /^[\0-\u00ff]*$/

/**
 * Counts the request for its customer, before its body is read.
 * @param customer undefined for a caller without a key
 * @throws OverloadedError if its customer uses too much
 */
export function joinShare (exchange: Exchange, customer: string | undefined): void {
  throwIfRefused(exchange, customer, heldFor(exchange.request)?.join(requestGroup(customer), performance.now()))
}

/**
 * Takes what the request needs to be sent to an upstream. To be called before its body is parsed, which needs several times its
 * length for a moment.
 * @param parsedBytes bytes of the body if it is parsed
 * @throws OverloadedError if its customer uses too much
 */
export function forwardShare (exchange: Exchange, customer: string | undefined, parsedBytes = 0): void {
  const held = heldFor(exchange.request)
  held?.addObjects(parsedBytes, performance.now())
  throwIfRefused(exchange, customer, held?.forward(performance.now()))
}

/** Corrects what was counted for a parsed body to the text that stays until the request has ended. */
export function recordText ({ request }: Exchange, parsedBytes: number, text: string): void {
  const bytes = ONE_BYTE_TEXT.test(text) ? text.length : text.length * 2
  heldFor(request)?.addObjects(bytes - parsedBytes, performance.now())
}

/** Counts a request that is refused for the others that are, if its body has not been read yet. */
export function joinRejected (exchange: Exchange): void {
  if (exchange.request.complete) return
  const decision = heldFor(exchange.request)?.join(REJECTED_GROUP, performance.now())
  if (decision?.admitted === false) stopReading(exchange, decision.mustRelease)
}

function throwIfRefused (
  exchange: Exchange, customer: string | undefined, decision: ShareDecision | undefined
): void {
  if (decision?.admitted !== false) return
  stopReading(exchange, decision.mustRelease)
  const owner = customer === undefined ? 'without a key' : `of ${customer}`
  throw new OverloadedError(`too many requests ${owner} are in progress`, {
    execution: ExecutionStatus.notRun, retryAfterSeconds: shareRetryAfter(decision) / 1000, reason: EndReason.share
  })
}

/** Closes the connection instead of reading the rest of the body, without a response if the memory is needed at once. */
function stopReading ({ request, response }: Exchange, mustRelease: boolean): void {
  if (request.complete) return
  if (mustRelease && response.socket !== null) request.socket.destroy()
  else if (!response.headersSent) response.shouldKeepAlive = false
}
