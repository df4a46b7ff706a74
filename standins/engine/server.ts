/** HTTP server of the engine stand-in. The wire format is in `docs/protocol.md`. */
import { INCARNATION_HEADER } from '../../src/constants'
import type { EngineCommand } from '../../src/upstream/types'
import { startStandinServer } from '../http'
import type { StandinHandler, StandinRequest, StandinServer } from '../http'
import { createSilence } from '../silence'
import type { Silence } from '../silence'
import { createBlockTransfer } from './blockTransfer'
import type { BlockTransfer } from './blockTransfer'
import { completionKey, runCompletion } from './completion'
import { createEngineCore } from './core'
import type { EngineCore, EngineOptions } from './core'
import { createEngineFaults } from './faults'
import type { EngineFaults } from './faults'

export interface EngineServer extends StandinServer {
  core: EngineCore
}

/** Starts an engine on 127.0.0.1. */
export async function startEngineServer (options: EngineOptions = {}): Promise<EngineServer> {
  const core = createEngineCore(options)
  const silence = createSilence()
  const transfer = createBlockTransfer({
    cache: core.cache,
    ...(options.platform === undefined ? {} : { platform: options.platform }),
    importMilliseconds: options.importMilliseconds ?? 1,
    isLoaded: core.weights.has
  })
  const guard = silence.guard
  const routes: Record<string, StandinHandler> = {
    'POST /completions': guard(async (exchange) => await runCompletion(core, exchange)),
    'DELETE /completions': guard(({ segments, sendJson }) => {
      const running = core.running.get(completionKey(segments[0] ?? '', segments[1] ?? ''))
      running?.cancel()
      sendJson(200, { cancelled: running !== undefined })
    }),
    'GET /report': guard(({ sendJson }) => sendJson(200, core.report())),
    'GET /probe': guard(({ sendJson }) => sendJson(200, { incarnation: core.incarnation })),
    'GET /cache-events': guard(({ query, sendJson }) => sendJson(200, core.cache.events(Number(query.get('after') ?? 0)))),
    'POST /orders': guard(async ({ readJson, sendJson }) => {
      const { status, code } = await core.weights.order(await readJson<EngineCommand>())
      sendJson(status, { code, message: code }, { [INCARNATION_HEADER]: String(core.incarnation) })
    }),
    'POST /blocks': guard(async (exchange) => await transferBlocks(core, transfer, exchange)),
    '* /control': async (exchange) => {
      silence.exempt(exchange.request)
      await control(core, server, silence, exchange)
    }
  }
  const server = await startStandinServer({ ...(options.port === undefined ? {} : { port: options.port }), routes })

  async function close (): Promise<void> {
    core.scheduler.close()
    await Promise.all([server.close(), transfer.close()])
  }
  if (options.onCrash === undefined) core.crash = () => { close().catch(() => undefined) }
  return { ...server, core, close }
}

async function transferBlocks (core: EngineCore, transfer: BlockTransfer, exchange: StandinRequest): Promise<void> {
  const { segments, readJson, sendJson } = exchange
  const { incarnation, blockKeys } = await readJson<{ incarnation?: number, blockKeys: string[] }>()
  if (segments[0] === 'export') return sendJson(200, { exported: await transfer.exportBlocks(blockKeys) })
  if (segments[0] !== 'import') return sendJson(404, { code: 'not_found', message: 'no such operation' })
  if (incarnation !== core.incarnation) {
    return sendJson(412, { code: 'other_incarnation', message: `incarnation is ${core.incarnation}` })
  }
  sendJson(200, { imported: await transfer.importBlocks(blockKeys) })
}

async function control (
  core: EngineCore, server: StandinServer, silence: Silence, exchange: StandinRequest
): Promise<void> {
  const { method, segments, readJson, sendJson, request } = exchange
  function setFaults (change: Partial<EngineFaults>): EngineFaults {
    Object.assign(core.faults, change)
    if (change.silence !== undefined) silence.set(change.silence, server, request)
    return core.faults
  }
  const actions: Record<string, () => Promise<unknown> | unknown> = {
    'GET faults': () => core.faults,
    'PUT faults': async () => setFaults(await readJson<Partial<EngineFaults>>()),
    'DELETE faults': () => setFaults(createEngineFaults()),
    'PUT leaving': async () => { core.leaving = (await readJson<{ leaving: boolean }>()).leaving },
    'POST crash': () => { setImmediate(core.crash) },
    'GET journal': () => ({ incarnation: core.incarnation, entries: core.journal.entries() }),
    'DELETE journal': () => core.journal.clear(),
    'GET state': () => ({
      incarnation: core.incarnation,
      leaving: core.leaving,
      loaded: core.weights.loaded(),
      orders: core.weights.history(),
      blocks: core.cache.size(),
      computedTokens: core.computedTokens,
      misuses: core.misuses
    })
  }
  const action = actions[`${method} ${segments[0] ?? ''}`]
  if (action === undefined) sendJson(404, { code: 'not_found', message: 'no such control' })
  else sendJson(200, await action() ?? {})
}
