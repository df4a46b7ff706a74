/** Command context backed by the system's files, clock, random numbers and HTTP. */
import { randomBytes, randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { formatEndpoint } from '../http/endpoint'
import { createHttpPlatformClient } from '../platform/httpPlatformClient'
import type { CommandContext } from './context'

export function createSystemContext (): CommandContext {
  return {
    createPlatform: endpoint => createHttpPlatformClient({ endpoint }),
    async http (endpoint, method, path, body, timeoutMilliseconds) {
      const response = await request(`http://${formatEndpoint(endpoint)}${path}`, {
        method,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body ?? null,
        signal: AbortSignal.timeout(timeoutMilliseconds)
      })
      return { status: response.statusCode, body: await response.body.text() }
    },
    readFile: async path => await readFile(path, 'utf8'),
    print: (text) => { process.stdout.write(text) },
    printError: (text) => { process.stderr.write(text) },
    wallClock: Date.now,
    randomBytes,
    createIdentifier: randomUUID,
    sleep: async (milliseconds) => { await sleep(milliseconds) }
  }
}
