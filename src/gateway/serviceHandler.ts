/** Plain services: finds the route, removes the caller's key, and relays the call and its answer. */
import { removeKey } from '../customer/keyRemoval'
import { InvalidRequestError } from '../errors'
import { fingerprintOf } from '../request/fingerprint'
import { ExecutionStatus } from '../types'
import type { RouteConfiguration } from '../types'
import type { CallerIdentity } from './completionTypes'
import { readBody, sendWhole } from './exchange'
import type { Exchange, ExchangeHandler } from './exchange'
import { findRoute } from './routeTable'
import type { ServiceExecutor } from './serviceExecutor'

/** Longest idempotency key that is accepted, in characters. */
const LONGEST_IDEMPOTENCY_KEY = 255

/** Headers that belong to one connection, or that the client and server set themselves. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host',
  'content-length', 'expect', 'x-request-id', 'x-attempt'
])

type Headers = Readonly<Record<string, string | readonly string[]>>

export interface ServiceHandlerOptions {
  execute: ServiceExecutor
  /** @throws NotReadyError before the first configuration. */
  routes: () => readonly RouteConfiguration[]
  /** @throws AuthenticationError when the request has no valid key. */
  authenticate: (exchange: Exchange) => CallerIdentity
  /** See `CompletionHandlerOptions`. */
  watch: (caller: CallerIdentity, signal: AbortSignal) => { signal: AbortSignal, release: () => void }
  maximumBodyBytes: number
}

export function createServiceHandler (options: ServiceHandlerOptions): ExchangeHandler {
  return async (exchange) => {
    const { method, path, identifier, request } = exchange
    const route = findRoute(options.routes(), method, path)
    const caller = route.open ? undefined : options.authenticate(exchange)
    const safe = removeKey({ headers: request.headers, path: path + exchange.query })
    const idempotencyKey = readIdempotencyKey(exchange)
    const body = await readBody(exchange, options.maximumBodyBytes)
    const { signal, release } = caller === undefined
      ? { signal: exchange.signal, release: () => {} }
      : options.watch(caller, exchange.signal)
    try {
      const answer = await options.execute({
        identifier,
        customer: caller?.customer,
        route,
        fingerprint: fingerprintOf(caller?.customer ?? '', `${method} ${safe.path}`, body),
        method,
        target: safe.path,
        headers: withoutConnectionHeaders(safe.headers),
        body,
        idempotencyKey,
        signal
      })
      sendWhole(exchange, answer.status, withoutConnectionHeaders(answer.headers), answer.body)
    } finally {
      release()
    }
  }
}

function readIdempotencyKey ({ request }: Exchange): string | undefined {
  const value = request.headers['idempotency-key']
  if (value === undefined) return undefined
  if (typeof value !== 'string' || value === '' || value.length > LONGEST_IDEMPOTENCY_KEY) {
    throw new InvalidRequestError(`idempotency-key must have 1 to ${LONGEST_IDEMPOTENCY_KEY} characters`, {
      execution: ExecutionStatus.notRun
    })
  }
  return value
}

/** Leaves out the connection's own headers and those that the `connection` header names. */
function withoutConnectionHeaders (headers: Headers): Record<string, string | readonly string[]> {
  const named = String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim())
  return Object.fromEntries(Object.entries(headers).filter(([name]) => {
    return !CONNECTION_HEADERS.has(name.toLowerCase()) && !named.includes(name.toLowerCase())
  }))
}
