/** Plain service (orders, bookings) over HTTP, with a journal of what it executed. */
import {
  ATTEMPT_HEADER, EXECUTION_HEADER, INCARNATION_HEADER, LEAVING_HEADER, REQUEST_IDENTIFIER_HEADER
} from '../../src/constants'
import { startStandinServer } from '../http'
import type { StandinHandler, StandinRequest, StandinServer } from '../http'
import { createJournal } from '../journal'
import type { Journal } from '../journal'
import { createSilence } from '../silence'
import type { SilenceMode } from '../silence'

export interface ServiceFaults {
  /** Milliseconds added to each call. */
  slow: number
  /** Crashes on the next call, before or after it has taken effect. */
  crash: 'off' | 'before' | 'after'
  silence: SilenceMode
  /** The next calls execute and then answer 500. */
  failures: number
  /** The next calls are refused before they execute. */
  refusals: number
  /** The next calls execute and their answer is never sent. */
  lostAnswers: number
}

export interface ServiceOptions {
  /** @default 0 */
  port?: number
  /** Milliseconds that a call takes. @default 2 */
  callMilliseconds?: number
  /** Bytes that are added to each answer. @default 0 */
  answerBytes?: number
  journalFile?: string
  incarnation?: number
  onCrash?: () => void
}

export interface ServiceServer extends StandinServer {
  faults: ServiceFaults
  journal: Journal
  incarnation: number
  state: { leaving: boolean, running: number }
}

/** Starts a service on 127.0.0.1. */
export async function startServiceServer (options: ServiceOptions = {}): Promise<ServiceServer> {
  const faults: ServiceFaults = { slow: 0, crash: 'off', silence: 'off', failures: 0, refusals: 0, lostAnswers: 0 }
  const journal = createJournal(options.journalFile)
  const silence = createSilence()
  const incarnation = options.incarnation ?? Date.now()
  const state = { leaving: false, running: 0 }
  const padding = 'x'.repeat(options.answerBytes ?? 0)
  let executed = 0
  const crash = options.onCrash ?? (() => { server.close().catch(() => undefined) })

  async function execute (exchange: StandinRequest): Promise<void> {
    const { request, response, method, sendJson } = exchange
    const body = await exchange.readBody()
    if (state.leaving || faults.refusals > 0) {
      if (!state.leaving) faults.refusals--
      return sendJson(503, { code: state.leaving ? 'leaving' : 'overloaded', message: 'not run' }, {
        [EXECUTION_HEADER]: 'not_run',
        [INCARNATION_HEADER]: String(incarnation),
        ...(state.leaving ? { [LEAVING_HEADER]: 'true' } : {})
      })
    }
    if (faults.crash === 'before') return crash()
    await new Promise((resolve) => setTimeout(resolve, (options.callMilliseconds ?? 2) + faults.slow))
    const requestIdentifier = String(request.headers[REQUEST_IDENTIFIER_HEADER] ?? '')
    const attempt = Number(request.headers[ATTEMPT_HEADER] ?? 0)
    const number = ++executed
    const entry = journal.begin({
      requestIdentifier, attempt, method, path: request.url, headers: request.headers, body: body.toString('utf8'), number
    })
    journal.finish(entry, 'complete')
    if (faults.crash === 'after') return crash()
    if (faults.lostAnswers > 0) {
      faults.lostAnswers--
      response.destroy()
      return
    }
    const failed = faults.failures > 0
    if (failed) faults.failures--
    const content = { number, method, path: request.url, body: body.toString('utf8') }
    sendJson(failed ? 500 : 200, padding === '' ? content : { ...content, padding }, {
      [REQUEST_IDENTIFIER_HEADER]: requestIdentifier,
      [ATTEMPT_HEADER]: String(attempt),
      [INCARNATION_HEADER]: String(incarnation)
    })
  }

  const server = await startStandinServer({
    ...(options.port === undefined ? {} : { port: options.port }),
    routes: {
      'GET /probe': silence.guard(({ sendJson }) => sendJson(200, { incarnation })),
      '* /control': async (exchange) => {
        silence.exempt(exchange.request)
        await control(exchange)
      }
    },
    fallback: silence.guard(async (exchange) => {
      state.running++
      exchange.response.on('close', () => { state.running-- })
      await execute(exchange)
    })
  })

  async function control ({ method, segments, readJson, sendJson, request }: StandinRequest): Promise<void> {
    const actions: Record<string, StandinHandler | (() => unknown)> = {
      'GET faults': () => faults,
      'PUT faults': async () => {
        const change = await readJson<Partial<ServiceFaults>>()
        if (change.silence !== undefined) silence.set(change.silence, server, request)
        return Object.assign(faults, change)
      },
      'PUT leaving': async () => { state.leaving = (await readJson<{ leaving: boolean }>()).leaving },
      'POST crash': () => { setImmediate(crash) },
      'GET journal': () => ({ incarnation, entries: journal.entries() }),
      'DELETE journal': () => journal.clear(),
      'GET state': () => ({ incarnation, ...state })
    }
    const action = actions[`${method} ${segments[0] ?? ''}`] as (() => unknown) | undefined
    if (action === undefined) sendJson(404, { code: 'not_found', message: 'no such control' })
    else sendJson(200, await action() ?? {})
  }

  return { ...server, faults, journal, incarnation, state }
}
