/** Stand-in of an upstream whose responses are written byte by byte by a script. */
import { createServer, type AddressInfo, type Socket } from 'node:net'

export interface RawRequest {
  socket: Socket
  identifier: string
  /** Identifier of the event after which the stream is resumed. */
  resumeAfter: string | undefined
  /** Number of the request on its connection, from 1. */
  numberOnConnection: number
}

export interface RawUpstream {
  /** `HOST:PORT`. */
  address: string
  /** Requests that arrived. */
  requests: RawRequest[]
  close: () => Promise<void>
}

function headerOf (text: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*?)\\r$`, 'mi').exec(text)?.[1]
}

/** @param respond writes the response to a request; called once for each request */
export async function startRawUpstream (respond: (request: RawRequest) => void): Promise<RawUpstream> {
  const sockets = new Set<Socket>()
  const requests: RawRequest[] = []
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    let numberOnConnection = 0
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
    socket.on('end', () => { socket.end() })
    socket.on('data', (bytes: Buffer) => {
      const text = bytes.toString('latin1')
      const identifier = headerOf(text, 'Request-Id')
      if (identifier === undefined) return
      numberOnConnection += 1
      const request = { socket, identifier, resumeAfter: headerOf(text, 'Last-Event-Id'), numberOnConnection }
      requests.push(request)
      respond(request)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests,
    async close () {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => { server.close(resolve) })
    }
  }
}
