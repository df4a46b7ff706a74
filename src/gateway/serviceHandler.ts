/** Handler for plain services: looks up the route, strips the caller's key, and relays the call and its response. */
import { removeKey } from '../customer/keyRemoval'
import { InvalidRequestError } from '../errors'
import { fingerprintOf } from '../request/fingerprint'
import { ExecutionStatus } from '../types'
import type { RouteConfiguration } from '../types'
import type { AnswerMemory } from './answerMemory'
import type { CallerIdentity } from './completionTypes'
import { readBody, sendResponse } from './exchange'
import type { Exchange, ExchangeHandler } from './exchange'
import { forwardShare, joinShare } from './requestShare'
import { findRoute } from './routeTable'
import type { ServiceExecutor } from './serviceExecutor'

/** Maximum length of an idempotency key in characters. */
const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255

/** Hop-by-hop headers, and headers that the HTTP client, the HTTP server or the router sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host',
  'content-length', 'expect', 'x-request-id', 'x-attempt'
])

type Headers = Readonly<Record<string, string | readonly string[]>>

export interface ServiceHandlerOptions {
  execute: ServiceExecutor
  /** @throws NotReadyError before the first configuration is received. */
  routes: () => readonly RouteConfiguration[]
  /** @throws AuthenticationError if the request has no valid key. */
  authenticate: (exchange: Exchange) => CallerIdentity
  /** See `CompletionHandlerOptions`. */
  watch: (caller: CallerIdentity, signal: AbortSignal) => { signal: AbortSignal, release: () => void }
  maximumBodyBytes: number
  /** Memory of long answers. @default not bounded */
  answerMemory?: AnswerMemory
}

export function createServiceHandler (options: ServiceHandlerOptions): ExchangeHandler {
  return async (exchange) => {
    const { method, path, identifier, request } = exchange
    const route = findRoute(options.routes(), method, path)
    const caller = route.open ? undefined : options.authenticate(exchange)
    joinShare(exchange, caller?.customer)
    const sanitized = removeKey({ headers: request.headers, path: path + exchange.query })
    const idempotencyKey = readIdempotencyKey(exchange)
    const body = await readBody(exchange, options.maximumBodyBytes)
    forwardShare(exchange, caller?.customer)
    const answer = options.answerMemory?.open(exchange)
    const { signal, release } = caller === undefined
      ? { signal: exchange.signal, release: () => {} }
      : options.watch(caller, exchange.signal)
    try {
      const response = await options.execute({
        identifier,
        customer: caller?.customer,
        route,
        fingerprint: fingerprintOf(caller?.customer ?? '', `${method} ${sanitized.path}`, body),
        method,
        target: sanitized.path,
        headers: withoutConnectionHeaders(sanitized.headers),
        body,
        ...(answer === undefined ? {} : { reserve: answer.reserve }),
        idempotencyKey,
        signal
      })
      sendResponse(exchange, response.status, withoutConnectionHeaders(response.headers), response.body)
    } finally {
      answer?.release()
      release()
    }
  }
}

function readIdempotencyKey ({ request }: Exchange): string | undefined {
  const value = request.headers['idempotency-key']
  if (value === undefined) return undefined
  if (typeof value !== 'string' || value === '' || value.length > MAXIMUM_IDEMPOTENCY_KEY_LENGTH) {
    throw new InvalidRequestError(`idempotency-key must have 1 to ${MAXIMUM_IDEMPOTENCY_KEY_LENGTH} characters`, {
      execution: ExecutionStatus.notRun
    })
  }
  return value
}

/** Removes hop-by-hop headers, including those listed in the `connection` header. */
function withoutConnectionHeaders (headers: Headers): Record<string, string | readonly string[]> {
  const named = String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim())
  return Object.fromEntries(Object.entries(headers).filter(([name]) => {
    return !CONNECTION_HEADERS.has(name.toLowerCase()) && !named.includes(name.toLowerCase())
  }))
}
