/** Small HTTP server for the stand-ins: exact routes, JSON bodies, and access to all open connections. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Endpoint } from '../src/types'

export interface StandinRequest {
  method: string
  /** Decoded path segments after the matched prefix. */
  segments: readonly string[]
  query: URLSearchParams
  request: IncomingMessage
  response: ServerResponse
  readBody: () => Promise<Buffer>
  readJson: <Value>() => Promise<Value>
  sendJson: (status: number, value: unknown, headers?: Record<string, string>) => void
}

export type StandinHandler = (exchange: StandinRequest) => Promise<void> | void

export interface StandinServer {
  endpoint: Endpoint
  server: Server
  /** All open connections, the oldest first. */
  sockets: () => readonly Socket[]
  /** Destroys all connections and stops listening. */
  close: () => Promise<void>
}

export interface StandinServerOptions {
  /** 0 lets the system choose. @default 0 */
  port?: number
  /** Handlers by `METHOD /first-segment`; the method may be `*`. */
  routes: Readonly<Record<string, StandinHandler>>
  /** Used when no route matches. */
  fallback?: StandinHandler
}

/** Starts a server on 127.0.0.1. */
export async function startStandinServer (options: StandinServerOptions): Promise<StandinServer> {
  const open = new Set<Socket>()
  const server = createServer((request, response) => {
    handle(options, request, response).catch((error: unknown) => {
      if (response.headersSent || response.destroyed) response.destroy()
      else sendJson(response, 500, { code: 'internal', message: String(error) })
    })
  })
  server.keepAliveTimeout = 60_000
  server.on('connection', (socket) => {
    socket.setNoDelay(true)
    open.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => open.delete(socket))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port ?? 0, '127.0.0.1', resolve)
  })
  const { port } = server.address() as AddressInfo
  return {
    endpoint: { host: '127.0.0.1', port },
    server,
    sockets: () => [...open],
    async close () {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()))
      for (const socket of open) socket.destroy()
      await closed
    }
  }
}

async function handle (
  options: StandinServerOptions, request: IncomingMessage, response: ServerResponse
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://127.0.0.1')
  const segments = url.pathname.split('/').slice(1).map(decodeURIComponent)
  const method = request.method ?? 'GET'
  const first = segments[0] ?? ''
  const handler = options.routes[`${method} /${first}`] ?? options.routes[`* /${first}`] ?? options.fallback
  const readBody = async () => await readAll(request)
  const exchange: StandinRequest = {
    method,
    segments: segments.slice(1),
    query: url.searchParams,
    request,
    response,
    readBody,
    readJson: async () => JSON.parse((await readBody()).toString('utf8') || '{}'),
    sendJson: (status, value, headers) => sendJson(response, status, value, headers)
  }
  if (handler === undefined) exchange.sendJson(404, { code: 'not_found', message: `no route ${method} ${url.pathname}` })
  else await handler(exchange)
}

async function readAll (request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts)
}

function sendJson (
  response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}
): void {
  if (response.destroyed || response.writableEnded) return
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length, ...headers })
  response.end(body)
}
