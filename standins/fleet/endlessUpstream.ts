/** Stand-in of an upstream in trouble: sends bytes that are no answer until its caller closes the connection. */
import { createServer, type AddressInfo, type Socket } from 'node:net'

/** Where in an answer the bytes without end stand. */
export const EndlessPart = {
  /** The first line of the answer. */
  statusLine: 'statusLine',
  head: 'head',
  interimHeads: 'interimHeads',
  /** The body of an answer without a length. */
  body: 'body',
  /** The body of an answer that states a length beyond all reason. */
  framedBody: 'framedBody',
  chunks: 'chunks',
  chunkExtension: 'chunkExtension',
  trailers: 'trailers',
  /** The body of a failure. */
  failedBody: 'failedBody',
  /** One event of a stream. */
  event: 'event'
} as const
export type EndlessPart = typeof EndlessPart[keyof typeof EndlessPart]

export interface EndlessUpstream {
  /** `HOST:PORT`. */
  address: string
  /** Requests that arrived. */
  arrivals: () => number
  /** Connections that the caller has not closed. */
  open: () => number
  /** Bytes that the callers' connections took. */
  sent: () => number
  close: () => Promise<void>
}

const PIECE_BYTES = 65_536

interface Script { start: (head: string) => string, piece: string }

function filled (unit: string): string {
  return unit.repeat(Math.ceil(PIECE_BYTES / unit.length))
}

const LONG_LENGTH = 'Content-Length: 1000000000000\r\n'
const CHUNKED = 'Transfer-Encoding: chunked\r\n'
const STREAM = 'Content-Type: text/event-stream\r\n'

const SCRIPTS: Readonly<Record<EndlessPart, Script>> = {
  statusLine: { start: () => 'HTTP/1.1 200 ', piece: filled('x') },
  head: { start: (head) => `HTTP/1.1 200 OK\r\n${head}`, piece: filled('Note: more of it\r\n') },
  interimHeads: { start: () => '', piece: filled('HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n') },
  body: { start: (head) => `HTTP/1.1 200 OK\r\n${head}\r\n`, piece: filled('x') },
  framedBody: { start: (head) => `HTTP/1.1 200 OK\r\n${head}${LONG_LENGTH}\r\n`, piece: filled('x') },
  chunks: { start: (head) => `HTTP/1.1 200 OK\r\n${head}${CHUNKED}\r\n`, piece: filled('4\r\nxxxx\r\n') },
  chunkExtension: { start: (head) => `HTTP/1.1 200 OK\r\n${head}${CHUNKED}\r\n4;note=`, piece: filled('x') },
  trailers: { start: (head) => `HTTP/1.1 200 OK\r\n${head}${CHUNKED}\r\n0\r\n`, piece: filled('Note: more of it\r\n') },
  failedBody: { start: (head) => `HTTP/1.1 500 Failed\r\n${head}\r\n`, piece: filled('x') },
  event: { start: (head) => `HTTP/1.1 200 OK\r\n${head}${STREAM}\r\n`, piece: filled('data: more of it\n') }
}

export async function startEndlessUpstream (part: EndlessPart): Promise<EndlessUpstream> {
  const connections = new Set<Socket>()
  const { start, piece } = SCRIPTS[part]
  let arrivals = 0
  let sent = 0

  function flood (socket: Socket, text: string): void {
    const identifier = /^Request-Id: (.*?)\r$/mi.exec(text)?.[1] ?? ''
    const version = /^Expected-Version: (.*?)\r$/mi.exec(text)?.[1]
    const weights = version === undefined ? '' : `Weight-Versions: ${version}\r\n`
    socket.write(start(`Request-Id: ${identifier}\r\nResponse-Stamp: stamp\r\n${weights}`))
    const go = (): void => {
      while (!socket.destroyed && socket.write(piece)) sent += piece.length
      sent += piece.length
    }
    socket.on('drain', go)
    go()
  }

  const server = createServer((socket) => {
    connections.add(socket)
    // The caller resets the connection when it has had enough.
    socket.on('error', () => {})
    socket.on('close', () => { connections.delete(socket) })
    socket.once('data', (bytes: Buffer) => {
      arrivals += 1
      flood(socket, bytes.toString('latin1'))
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    arrivals: () => arrivals,
    open: () => connections.size,
    sent: () => sent,
    async close () {
      for (const socket of connections) socket.destroy()
      await new Promise((resolve) => { server.close(resolve) })
    }
  }
}
