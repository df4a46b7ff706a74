/** Callers and headers of the tests of a request's life: what an instance's server would pass to an exchange. */
import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Obstacle } from '../attemptDecision'
import { RequestLimitKind, type Dialect } from '../types'

/** Key of all callers. */
export const CALLER_KEY = 'bakery-key'

export interface CallerEnding {
  at: number
  /** Whether the connection was closed before the response was complete. */
  isCut: boolean
  /** Why the request was not sent to another upstream, as the instance logged it. */
  obstacle: Obstacle | undefined
  /** Whether an upstream had crashed, so that requests may be suspected. */
  hasCrash: boolean
}

/** What the caller of one request has got. */
export interface CallerView {
  status: number | undefined
  headAt: number | undefined
  body: string
  endings: CallerEnding[]
}

export const simulatedDialect = {
  readRequest: (headers) => ({
    identifier: headers['request-id'] as string,
    callerTimeout: undefined,
    key: CALLER_KEY,
    model: undefined,
    tokens: undefined,
    promptSegments: [{ identifier: `part-${String(headers.segment)}`, tokens: 10 }, { identifier: 'own', tokens: 1 }],
    resumeAfter: undefined
  }),
  upstreamHeaders: (raw, _bodyBytes, { resumeAfter }) => (
    resumeAfter === undefined ? [...raw] : [...raw, 'last-event-id', resumeAfter]
  ),
  readResponse: (status, headers) => ({
    identifier: headers['request-id'] as string,
    notRun: headers['not-run'] === '1',
    signed: true,
    misdirected: status === 421,
    answeredBy: headers['answered-by'] as string | undefined,
    weightsVersion: undefined,
    upstreamHint: { leaving: false, backOffFor: undefined, requestLimit: { kind: RequestLimitKind.none } }
  }),
  callerHeaders: (raw) => [...raw],
  localResponseHeaders: () => []
} satisfies Dialect

export function createCallerResponse (view: CallerView, describeEnding: () => Omit<CallerEnding, 'isCut'>): ServerResponse {
  const response = Object.assign(new EventEmitter(), {
    req: { complete: true },
    writableFinished: false,
    writeHead (status: number) {
      view.status = status
      view.headAt ??= performance.now()
    },
    write (bytes: Buffer) {
      view.body += bytes.toString()
      return true
    },
    end (bytes?: Buffer) {
      if (bytes !== undefined) view.body += bytes.toString()
      response.writableFinished = true
      view.endings.push({ ...describeEnding(), isCut: false })
      process.nextTick(() => response.emit('close'))
    },
    destroy () {
      view.endings.push({ ...describeEnding(), isCut: true })
      process.nextTick(() => response.emit('close'))
    }
  })
  return response as unknown as ServerResponse
}

export function createCallerRequest (index: number, segment: number): IncomingMessage {
  const headers = { host: 'chat.example', 'request-id': String(index), segment: String(segment) }
  return Object.assign(new EventEmitter(), {
    method: 'POST', url: `/${index}/x`, headers, rawHeaders: Object.entries(headers).flat(), complete: true
  }) as unknown as IncomingMessage
}
