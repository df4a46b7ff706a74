/** Guards against answers that are cut because the server closes connections whose last answer is not sent yet. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { createCallerServer, type CallerServer } from '../callerServer'
import { sendResponse } from '../exchange'

/** More than the buffers of the operating system take. */
const ANSWER_BYTES = 32 * 1024 * 1024

let server: CallerServer
afterEach(async () => { await server.close() })

async function startSlowReader (): Promise<Socket> {
  server = createCallerServer({
    createIdentifier: () => 'r',
    route: () => async (exchange) => { sendResponse(exchange, 200, {}, Buffer.alloc(ANSWER_BYTES)) },
    reportFault () {}
  })
  const endpoint = await server.listen({ host: '127.0.0.1', port: 0 })
  const socket = connect(endpoint.port, endpoint.host)
  socket.on('error', () => {})
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
  await once(socket, 'readable')
  await delay(200)
  return socket
}

/** Reads until the connection closes, and returns the number of bytes. */
async function countBytes (socket: Socket): Promise<number> {
  let bytes = 0
  socket.on('data', (chunk: Buffer) => { bytes += chunk.length })
  const closed = once(socket, 'close')
  // The server keeps the connection after a whole answer.
  socket.setTimeout(500, () => { socket.destroy() })
  await closed
  return bytes
}

describe('a whole answer to a caller that reads slowly', () => {
  it.each([['while the server goes on', false], ['while the server stops', true]])('is sent whole %s', async (_title, isStopping) => {
    const socket = await startSlowReader()
    if (isStopping) server.closeConnections()
    expect(await countBytes(socket)).toBeGreaterThanOrEqual(ANSWER_BYTES)
  })
})
