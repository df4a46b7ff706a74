/** Stand-in of an engine or a plain service behind the edge, with a journal of what ran and faults for the next requests. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

export const UpstreamFault = {
  /** Refuses without running. */
  full: 'full',
  /** Runs and answers 500. */
  fails: 'fails',
  /** Runs and answers 503 without saying that it did not. */
  failsBusy: 'failsBusy',
  /** Runs and resets the connection. */
  answerLost: 'answerLost',
  /** Resets the connection in the middle of the answer. */
  cut: 'cut',
  /** Ends a stream in the middle of an event, with a complete message. */
  tornEvent: 'tornEvent',
  /** Answers another request. */
  crossed: 'crossed',
  /** Answers without a signature. */
  unsigned: 'unsigned',
  /** Sends a second answer after the first. */
  extra: 'extra',
  /** Ends the answer without a length by closing the connection. */
  unframed: 'unframed',
  /** Resets the connection in the middle of an answer without a length. */
  unframedReset: 'unframedReset',
  /** Answers nothing. */
  silent: 'silent',
  /** Stalls within a stream and sends a comment now and then. */
  comments: 'comments',
  /** Answers a long request before its body is in. */
  early: 'early'
} as const
export type UpstreamFault = typeof UpstreamFault[keyof typeof UpstreamFault]

export interface UpstreamRun {
  identifier: string
  method: string
  path: string
  headers: IncomingMessage['headers']
  body: string
  fault: UpstreamFault | undefined
  /** The connection closed before the answer was complete. */
  cancelled: boolean
  /** Milliseconds of the steady clock; the end is undefined while the run goes on. */
  startedAt: number
  endedAt: number | undefined
}

export interface UpstreamStandIn {
  identifier: string
  /** `HOST:PORT`. */
  address: string
  runs: UpstreamRun[]
  /** Requests that arrived, run or not. */
  arrivals: () => number
  /** Times, in milliseconds of the steady clock, of all requests that arrived, reports and orders included. */
  arrivalTimes: number[]
  /** The next requests meet these faults, one each. */
  fail: (...faults: UpstreamFault[]) => void
  /** Weights of the model `small`; 0 makes it a plain service. */
  weights: number
  /** Headers of every answer, refusals, reports and answers to orders included. */
  says: Record<string, string>
  /** Refuses all requests without running them. */
  isFull: boolean
  /** Requests that run at once; more are refused without running them. */
  maximumAtWork: number
  /** Writes nothing, to new requests either, until it is unset; then all that came due is written. */
  isPaused: boolean
  /** Answers nothing at all any more, on open connections either. */
  isDark: boolean
  /** Orders that were accepted. */
  orders: Array<Record<string, unknown>>
  /** Whether a request crashes the upstream when it begins to answer it. */
  crashesOn: (run: UpstreamRun) => boolean
  /** Resets all connections and accepts none until the restart. */
  crash: () => void
  /** Times of the crashes in milliseconds of the steady clock. */
  crashTimes: number[]
  /** Called when the upstream accepts connections again after a crash. */
  onRestart: () => void
  close: () => Promise<void>
}

export interface UpstreamStandInOptions {
  /** Events of a stream. @default 4 */
  events?: number
  /** Milliseconds between events, and before a plain answer. @default 5 */
  pace?: number
  /** Bytes of a comment in each event. @default 0 */
  padding?: number
  /** Body of a plain answer. @default PLAIN_ANSWER */
  answer?: string
  /** Weights of the model `small`; 0 makes it a plain service. @default 0 */
  weights?: number
  /** Milliseconds from a crash to the restart; with 0, the port is never closed. @default 500 */
  restartAfter?: number
  /** Milliseconds from a crash for which new connections are accepted and reset. @default 0 */
  closesPortAfter?: number
  /** Whether a crash resets no connection: they stay open without an answer, as does the port. @default false */
  crashesSilently?: boolean
  /** Faults of the next requests, one each; several stand-ins may share one list. @default [] */
  faults?: UpstreamFault[]
}

/** Comment that a stalled stream sends now and then. */
export const STREAM_COMMENT = ': still here\n\n'
export const PLAIN_ANSWER = 'the whole answer'

/** Milliseconds between two looks whether a pause is over. */
const PAUSE_CHECK_MS = 10

export function eventText (number: number): string {
  return `id: ${number}\ndata: piece ${number}\n\n`
}

export async function startUpstreamStandIn (
  identifier: string,
  options: UpstreamStandInOptions = {}
): Promise<UpstreamStandIn> {
  const {
    events = 4, pace = 5, padding = 0, answer = PLAIN_ANSWER, weights = 0, restartAfter = 500, closesPortAfter = 0,
    crashesSilently = false, faults = []
  } = options
  const runs: UpstreamRun[] = []
  const orders: Array<Record<string, unknown>> = []
  const arrivalTimes: number[] = []
  const comment = padding === 0 ? '' : `: ${'.'.repeat(padding)}\n`
  /** Connections on which nothing is answered since a silent crash, even after the restart. */
  const hungSockets = new Set<Socket>()
  let arrivals = 0
  let atWork = 0

  function whenNotPaused (action: () => void): void {
    if (!standIn.isPaused) return action()
    setTimeout(() => { whenNotPaused(action) }, PAUSE_CHECK_MS)
  }

  /** Whether nothing is answered on the connection of the request. */
  function isSilent ({ socket }: IncomingMessage): boolean {
    return standIn.isDark || hungSockets.has(socket)
  }

  function refuse (response: ServerResponse, status: number, headers: Record<string, string>): void {
    const identifier = response.req.headers['request-id']
    whenNotPaused(() => {
      response.writeHead(status, {
        ...standIn.says, ...headers, ...(identifier === undefined ? {} : { 'Request-Id': identifier }), 'Content-Length': '0'
      }).end()
    })
  }

  function headersOf (request: IncomingMessage, fault: UpstreamFault | undefined): Record<string, string> {
    const own = String(request.headers['request-id'])
    return {
      ...standIn.says,
      'Request-Id': fault === UpstreamFault.crossed ? 'another' : own,
      ...(fault === UpstreamFault.unsigned ? {} : { 'Response-Stamp': `stamp.${identifier}.${own}` }),
      ...(standIn.weights > 0 ? { 'Weight-Versions': String(standIn.weights) } : {})
    }
  }

  function stream (request: IncomingMessage, response: ServerResponse, fault: UpstreamFault | undefined): void {
    response.writeHead(200, { ...headersOf(request, fault), 'Content-Type': 'text/event-stream' })
    const resumedAfter = Number(request.headers['last-event-id'] ?? 0)
    const startedAt = performance.now()
    let number = resumedAfter
    // Each event has its own time, so that late timers of a busy machine do not add up.
    const schedule = (): void => {
      const dueAt = startedAt + (number - resumedAfter + 1) * pace
      setTimeout(() => { whenNotPaused(next) }, Math.max(0, dueAt - performance.now()))
    }
    const next = (): void => {
      if (response.destroyed || isSilent(request)) return
      number += 1
      const start = eventText(number).slice(0, 8)
      const endings: Partial<Record<UpstreamFault, () => void>> = {
        cut () {
          response.write(start)
          setTimeout(() => { response.socket?.resetAndDestroy() }, pace)
        },
        tornEvent: () => { response.end(start) },
        comments () {
          const timer = setInterval(() => { if (!standIn.isPaused) response.write(STREAM_COMMENT) }, 200)
          response.on('close', () => { clearInterval(timer) })
        },
        silent: () => {}
      }
      const ending = fault === undefined || number <= Math.ceil(events / 2) ? undefined : endings[fault]
      if (ending !== undefined) ending()
      else if (number > events) response.end()
      else {
        response.write(comment + eventText(number))
        schedule()
      }
    }
    schedule()
  }

  function plain (request: IncomingMessage, response: ServerResponse, fault: UpstreamFault | undefined): void {
    const headers = headersOf(request, fault)
    const length = { 'Content-Length': String(answer.length) }
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const unframedHead = `HTTP/1.1 200 OK\r\n${lines}Connection: close\r\n\r\n`
    const answers: Partial<Record<UpstreamFault, () => void>> = {
      fails: () => { response.writeHead(500, { ...headers, 'Content-Length': '6' }).end('failed') },
      failsBusy: () => { response.writeHead(503, { ...headers, 'Content-Length': '4' }).end('busy') },
      answerLost: () => { request.socket.resetAndDestroy() },
      cut () {
        response.writeHead(200, { ...headers, ...length })
        response.write(answer.slice(0, 5))
        setTimeout(() => { request.socket.resetAndDestroy() }, pace)
      },
      extra () {
        response.writeHead(200, { ...headers, ...length }).end(answer)
        const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${headers['Request-Id']}\r\nResponse-Stamp: x\r\nContent-Length: 5\r\n\r\nextra`
        setTimeout(() => { whenNotPaused(() => { request.socket.write(head) }) }, pace)
      },
      unframed: () => { request.socket.end(`${unframedHead}${answer}`) },
      unframedReset () {
        // The reset arrives together with the bytes before it.
        request.socket.write(`${unframedHead}${answer.slice(0, 5)}`)
        request.socket.resetAndDestroy()
      },
      silent: () => {}
    }
    const handler = fault === undefined ? undefined : answers[fault]
    whenNotPaused(() => {
      if (isSilent(request)) return
      if (handler !== undefined) return handler()
      response.writeHead(200, { ...headers, ...length }).end(answer)
    })
  }

  function run (
    request: IncomingMessage, response: ServerResponse, body: string, fault: UpstreamFault | undefined
  ): void {
    const { method, url, headers } = request
    const record: UpstreamRun = {
      identifier: String(headers['request-id']),
      method: method ?? '',
      path: url ?? '',
      headers,
      body,
      fault,
      cancelled: false,
      startedAt: performance.now(),
      endedAt: undefined
    }
    runs.push(record)
    atWork += 1
    response.on('close', () => {
      atWork -= 1
      record.cancelled = !response.writableFinished
      record.endedAt = performance.now()
    })
    if (standIn.crashesOn(record)) {
      if (standIn.weights > 0) response.writeHead(200, headersOf(request, fault)).flushHeaders()
      setTimeout(standIn.crash, pace)
    } else if (standIn.weights > 0) stream(request, response, fault)
    else setTimeout(() => { plain(request, response, fault) }, pace)
  }

  function order (response: ServerResponse, body: string): void {
    const fields = JSON.parse(body) as Record<string, unknown>
    if (fields.precondition !== orders.length) return refuse(response, 409, {})
    orders.push(fields)
    standIn.weights = Number(fields.version)
    refuse(response, 202, {})
  }

  const server = createServer((request, response) => {
    if (isSilent(request)) return
    arrivalTimes.push(performance.now())
    if (request.url === '/report') {
      const models = [{ name: 'small', version: standIn.weights, adapters: [] }]
      const text = JSON.stringify({ stage: 'both', models, busy: false, sequence: orders.length })
      whenNotPaused(() => { response.writeHead(200, { ...standIn.says, 'Content-Length': text.length }).end(text) })
      return
    }
    const isOrder = request.url === '/order'
    const expected = request.headers['expected-instance']
    const fault = isOrder ? undefined : faults.shift()
    if (!isOrder) arrivals += 1
    if (fault === UpstreamFault.early) {
      plain(request, response, undefined)
      return
    }
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    request.on('end', () => {
      const body = Buffer.concat(chunks).toString()
      if (expected !== undefined && expected !== identifier) return refuse(response, 421, { 'Instance-Id': identifier })
      if (isOrder) return order(response, body)
      const version = request.headers['expected-version']
      if (version !== undefined && Number(version) !== standIn.weights) return refuse(response, 421, {})
      const isFull = standIn.isFull || atWork >= standIn.maximumAtWork
      if (isFull || fault === UpstreamFault.full) return refuse(response, 503, { 'Not-Executed': '1' })
      run(request, response, body, fault)
    })
  })
  const sockets = new Set<Socket>()
  let isCrashing = false
  let isHung = false
  server.on('connection', (socket) => {
    if (isCrashing) {
      socket.resetAndDestroy()
      return
    }
    sockets.add(socket)
    if (isHung) hungSockets.add(socket)
    socket.on('close', () => { sockets.delete(socket) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  let restartTimer: NodeJS.Timeout | undefined

  /** Accepts connections again, at another port if some other socket of the machine has taken this one meanwhile. */
  function restart (): void {
    const onTaken = (error: NodeJS.ErrnoException): void => {
      if (error.code !== 'EADDRINUSE') throw error
      server.listen(0, '127.0.0.1')
    }
    server.once('error', onTaken)
    server.listen(Number(standIn.address.split(':')[1]), '127.0.0.1', () => {
      server.off('error', onTaken)
      standIn.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
      standIn.onRestart()
    })
  }

  const standIn: UpstreamStandIn = {
    identifier,
    address: `127.0.0.1:${port}`,
    runs,
    arrivals: () => arrivals,
    arrivalTimes,
    fail: (...next) => { faults.push(...next) },
    weights,
    says: {},
    isFull: false,
    maximumAtWork: Infinity,
    isPaused: false,
    isDark: false,
    orders,
    crashesOn: () => false,
    crash () {
      if (!server.listening || isCrashing || isHung) return
      standIn.crashTimes.push(performance.now())
      if (crashesSilently) {
        isHung = true
        for (const socket of sockets) hungSockets.add(socket)
        restartTimer = setTimeout(() => {
          isHung = false
          standIn.onRestart()
        }, restartAfter)
        return
      }
      for (const socket of sockets) socket.resetAndDestroy()
      if (restartAfter === 0) {
        standIn.onRestart()
        return
      }
      isCrashing = true
      const closePort = (): void => {
        server.close()
        isCrashing = false
      }
      if (closesPortAfter === 0) closePort()
      else setTimeout(closePort, closesPortAfter)
      restartTimer = setTimeout(restart, closesPortAfter + restartAfter)
    },
    crashTimes: [],
    onRestart: () => {},
    async close () {
      clearTimeout(restartTimer)
      server.closeAllConnections()
      await new Promise((resolve) => { server.close(resolve) })
    }
  }
  return standIn
}
