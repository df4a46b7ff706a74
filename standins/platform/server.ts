/** HTTP server around the memory platform. The wire format is in `docs/protocol.md`. */
import { OutcomeUnknownError, RouterError } from '../../src/errors'
import { EXECUTION_HEADER } from '../../src/constants'
import { createMemoryPlatform } from '../../src/platform/memoryPlatform'
import type { MemoryPlatform, PlatformFaults } from '../../src/platform/memoryPlatform'
import type { ReadTableOptions, Transaction } from '../../src/platform/types'
import type { ListedInstance } from '../../src/types'
import { startStandinServer } from '../http'
import type { StandinHandler, StandinRequest, StandinServer } from '../http'
import { createWeightStore } from './weightStore'

/** How an outage shows: an answer that nothing was run, a cut connection, or no answer at all. */
export type OutageMode = 'refuse' | 'cut' | 'silence'

export interface PlatformServerFaults extends PlatformFaults {
  /** @default 'refuse' */
  outageMode: OutageMode
  /** Versions as `model@version` whose weights are missing. @default [] */
  missingWeights: readonly string[]
}

export interface PlatformServerOptions {
  /** @default 0 */
  port?: number
  /** Milliseconds for one load of weights. @default 1000 */
  loadMilliseconds?: number
  /** Loads at full speed at the same time. @default 2 */
  parallelLoads?: number
  instances?: readonly ListedInstance[]
}

export interface PlatformServer extends StandinServer {
  platform: MemoryPlatform
  faults: PlatformServerFaults
}

/** Starts the platform on 127.0.0.1. */
export async function startPlatformServer (options: PlatformServerOptions = {}): Promise<PlatformServer> {
  const platform = createMemoryPlatform()
  platform.setInstances(options.instances ?? [])
  const faults: PlatformServerFaults = Object.assign(platform.faults, { outageMode: 'refuse' as const, missingWeights: [] })
  const weights = createWeightStore({
    loadMilliseconds: options.loadMilliseconds ?? 1000, parallelLoads: options.parallelLoads ?? 2
  })

  /** Applies the outage mode and maps the memory platform's errors to answers. */
  function guarded (handler: StandinHandler): StandinHandler {
    return async (exchange) => {
      if (faults.outage && faults.outageMode !== 'refuse') {
        if (faults.outageMode === 'cut') exchange.response.destroy()
        return
      }
      try {
        await handler(exchange)
      } catch (error) {
        if (error instanceof OutcomeUnknownError) exchange.response.destroy()
        else if (error instanceof RouterError) sendError(exchange, error)
        else throw error
      }
    }
  }

  const routes: Record<string, StandinHandler> = {
    'GET /tables': guarded(async (exchange) => await readTables(platform, exchange)),
    'POST /transactions': guarded(async ({ readJson, sendJson }) => {
      sendJson(200, await platform.client.commit(await readJson<Transaction>()))
    }),
    'GET /objects': guarded(async ({ segments, response, sendJson }) => {
      const content = await platform.client.readObject(segments[0] ?? '')
      if (content === undefined) return sendJson(404, { code: 'not_found', message: 'no such object' })
      response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': content.length })
      response.end(content)
    }),
    'PUT /objects': guarded(async ({ segments, readBody, response }) => {
      await platform.client.writeObject(segments[0] ?? '', await readBody())
      response.writeHead(204).end()
    }),
    'GET /instances': guarded(async ({ sendJson }) => sendJson(200, await platform.client.listInstances())),
    'GET /weights': guarded(async ({ segments, response, sendJson }) => {
      const name = `${segments[0] ?? ''}@${segments[1] ?? ''}`
      if (faults.outage) return sendJson(503, { code: 'platform_unavailable', message: 'platform outage' })
      if (faults.missingWeights.includes(name)) return sendJson(404, { code: 'not_found', message: `no weights ${name}` })
      const aborter = new AbortController()
      response.on('close', () => aborter.abort())
      await weights.load(aborter.signal)
      sendJson(200, { name })
    }),
    '* /control': async (exchange) => await control(platform, faults, exchange)
  }
  const server = await startStandinServer({ ...(options.port === undefined ? {} : { port: options.port }), routes })
  return { ...server, platform, faults }
}

async function readTables (platform: MemoryPlatform, { segments, query, sendJson }: StandinRequest): Promise<void> {
  const [table = '', kind, key] = segments
  const read: ReadTableOptions = { consistency: query.get('consistency') === 'replica' ? 'replica' : 'strong' }
  if (kind === 'rows' && key !== undefined) {
    const row = await platform.client.readRow(table, key, read)
    return row === undefined ? sendJson(404, { code: 'not_found', message: 'no such row' }) : sendJson(200, row)
  }
  read.afterVersion = Number(query.get('afterVersion') ?? 0)
  read.prefix = query.get('prefix') ?? ''
  sendJson(200, { rows: await platform.client.readTable(table, read) })
}

async function control (
  platform: MemoryPlatform, faults: PlatformServerFaults, exchange: StandinRequest
): Promise<void> {
  const { method, segments, readJson, sendJson } = exchange
  const actions: Record<string, () => Promise<unknown>> = {
    'GET faults': async () => faults,
    'PUT faults': async () => Object.assign(faults, await readJson<Partial<PlatformServerFaults>>()),
    'PUT instances': async () => platform.setInstances(await readJson<ListedInstance[]>()),
    'PUT instance': async () => platform.putInstance(await readJson<ListedInstance>()),
    'DELETE instance': async () => platform.removeInstance(segments[1] ?? ''),
    'GET counts': async () => platform.counts
  }
  const action = actions[`${method} ${segments[0] ?? ''}`]
  if (action === undefined) sendJson(404, { code: 'not_found', message: 'no such control' })
  else sendJson(200, await action() ?? {})
}

function sendError ({ sendJson }: StandinRequest, error: RouterError): void {
  const headers = error.execution === 'not_run' ? { [EXECUTION_HEADER]: 'not_run' } : undefined
  sendJson(error.httpStatus, { code: error.code, message: error.message }, headers)
}
