/** Failures of the connection to the platform, and what the client says about the write. */
import { afterEach, expect, it } from 'vitest'
import { startPlatformServer } from '../../../standins/platform/server'
import type { OutageMode, PlatformServer } from '../../../standins/platform/server'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../errors'
import { createHttpPlatformClient } from '../httpPlatformClient'
import type { PlatformClient } from '../types'

const transaction = { identifier: 't', conditions: [], writes: [{ table: 't', key: 'k', value: 1 }] }
let server: PlatformServer
let client: PlatformClient

afterEach(async () => {
  await client.close()
  await server.close()
})

async function start (): Promise<void> {
  server = await startPlatformServer()
  client = createHttpPlatformClient({ endpoint: server.endpoint, wholeTimeout: 300 })
}

it.each<[OutageMode, typeof OutcomeUnknownError | typeof PlatformUnavailableError]>([
  ['refuse', PlatformUnavailableError],
  ['cut', OutcomeUnknownError],
  ['silence', OutcomeUnknownError]
])('outage by %s: a write that was sent is only called undone when the platform says so', async (outageMode, expected) => {
  await start()
  Object.assign(server.faults, { outage: true, outageMode })
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(expected)
  await expect(client.readRow('t', 'k')).rejects.toBeInstanceOf(PlatformUnavailableError)
})

it('a refused connection is reported as certainly not written', async () => {
  await start()
  await server.close()
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(PlatformUnavailableError)
})

it('a slow answer to a write passes the time limit and leaves the outcome unknown', async () => {
  await start()
  server.faults.latency = 400
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(OutcomeUnknownError)
})

it('after a silent connection the next call uses a new one', async () => {
  await start()
  await client.commit(transaction)
  Object.assign(server.faults, { outage: true, outageMode: 'silence' })
  await expect(client.readRow('t', 'k')).rejects.toBeInstanceOf(PlatformUnavailableError)
  server.faults.outage = false
  expect((await client.readRow('t', 'k'))?.value).toBe(1)
})
