/** Stand-in of the platform's metadata store: tables with rows, a feed of changes, conditional writes, and faults. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Endpoint } from '../../src/types'

export const StoreFault = {
  none: 'none',
  /** Calls get no answer. */
  silent: 'silent',
  /** Calls are refused. */
  busy: 'busy',
  /** Connections are reset. */
  reset: 'reset',
  /** Writes are done and not answered. */
  lostWrites: 'lostWrites',
  /** Reads show an older state. */
  stale: 'stale'
} as const
export type StoreFault = typeof StoreFault[keyof typeof StoreFault]

interface Row { table: string, key: string, value: string | undefined, ver: number }
interface RowReference { table: string, part: string, key: string, ver?: number, value?: string }

export interface StoreStandIn {
  endpoint: Endpoint
  /** Writes a row as the operator or an upstream does. */
  put: (table: string, key: string, value: unknown) => void
  /** Writes bytes that need not be JSON. */
  putBytes: (table: string, key: string, bytes: Buffer) => void
  remove: (table: string, key: string) => void
  rows: (table: string) => string[]
  /** The decoded value of a row; undefined when there is none. */
  value: (table: string, key: string) => unknown
  setFault: (fault: StoreFault) => void
  /** Drops all history; feeds that are behind get 410. */
  dropHistory: () => void
  /** Version of the newest write. */
  version: () => number
  /**
   * Comes back from a copy that lacks the newest `lost` versions: breaks off all connections, raises the era by one, and
   * gives the lost version numbers out again.
   */
  restore: (lost: number) => void
  /** Calls by path. */
  calls: () => ReadonlyMap<string, number>
  close: () => Promise<void>
}

export interface StoreStandInOptions {
  /** First era that the answers name. @default the answers name no era */
  era?: number
}

/** Milliseconds between looks of a waiting feed. */
const FEED_POLL_MS = 5

export async function startStoreStandIn (options: StoreStandInOptions = {}): Promise<StoreStandIn> {
  const current = new Map<string, Row>()
  let history: Row[] = []
  const calls = new Map<string, number>()
  let version = 0
  let era = options.era
  let oldest = 0
  let fault: StoreFault = StoreFault.none
  let staleVersion = 0

  function write (table: string, key: string, value: string | undefined): void {
    const row = { table, key, value, ver: version }
    if (value === undefined) current.delete(`${table}/${key}`)
    else current.set(`${table}/${key}`, row)
    history.push(row)
  }

  function answer (response: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body)
    const headers = {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      ...(era === undefined ? {} : { 'Store-Era': String(era) })
    }
    response.writeHead(status, headers).end(text)
  }

  function encode (row: Row): unknown {
    const { table, key, value, ver } = row
    return value === undefined ? { table, part: '', key, ver, removed: true } : { table, part: '', key, value, ver }
  }

  /** Rows of a table as of a version. */
  function tableAt (table: string, at: number): Row[] {
    const rows = new Map<string, Row>()
    for (const row of history) {
      if (row.table !== table || row.ver > at) continue
      if (row.value === undefined) rows.delete(row.key)
      else rows.set(row.key, row)
    }
    return [...rows.values()].sort((one, other) => Buffer.compare(Buffer.from(one.key), Buffer.from(other.key)))
  }

  function now (): number {
    return Math.round(performance.now())
  }

  const handlers: Readonly<Record<string, (url: URL, body: Buffer, response: ServerResponse) => void>> = {
    '/rows-get' (url, _body, response) {
      const at = fault === StoreFault.stale ? staleVersion : version
      const rows = tableAt(url.searchParams.get('table') ?? '', at)
      answer(response, 200, { rows: rows.map(encode), hasMore: false, ver: at, nowMs: now() })
    },
    '/rows-feed' (url, _body, response) {
      const table = url.searchParams.get('table')
      const after = Number(url.searchParams.get('after'))
      const until = now() + Number(url.searchParams.get('waitMs'))
      const look = (): void => {
        if (after < oldest || after > version) return answer(response, 410, {})
        const rows = history.filter((row) => row.table === table && row.ver > after)
        if (rows.length === 0 && now() < until && !response.destroyed) setTimeout(look, FEED_POLL_MS)
        else answer(response, 200, { rows: rows.map(encode), ver: version, nowMs: now() })
      }
      look()
    },
    '/rows-tx' (_url, body, response) {
      const { precondition, writes, remove } = JSON.parse(body.toString()) as Record<string, RowReference[]>
      const present = (row: RowReference): Row | undefined => current.get(`${row.table}/${row.key}`)
      const holds = precondition!.every((row) => (present(row)?.ver ?? 0) === row.ver)
      if (!holds) {
        const rows = precondition!.flatMap((row) => present(row) ?? []).map(encode)
        return answer(response, 412, { rows, ver: version, nowMs: now() })
      }
      version += 1
      for (const { table, key, value } of writes!) write(table, key, value)
      for (const { table, key } of remove!) write(table, key, undefined)
      if (fault === StoreFault.lostWrites) return
      answer(response, 200, { ver: version, nowMs: now() })
    }
  }

  /** What becomes of a call before it is looked at; undefined lets it through. */
  const refusals: Partial<Record<StoreFault, (request: IncomingMessage, response: ServerResponse) => void>> = {
    silent: () => {},
    busy: (_request, response) => { answer(response, 503, {}) },
    reset: (request) => { request.socket.resetAndDestroy() }
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store')
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1)
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    request.on('end', () => {
      const refuse = refusals[fault]
      if (refuse !== undefined) return refuse(request, response)
      const handler = handlers[url.pathname]
      if (handler === undefined) return answer(response, 404, {})
      handler(url, Buffer.concat(chunks), response)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })

  function putBytes (table: string, key: string, bytes: Buffer): void {
    version += 1
    write(table, key, bytes.toString('base64'))
  }

  return {
    endpoint: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
    put: (table, key, value) => { putBytes(table, key, Buffer.from(JSON.stringify(value))) },
    putBytes,
    remove (table, key) {
      version += 1
      write(table, key, undefined)
    },
    rows: (table) => tableAt(table, version).map(({ key }) => key),
    value (table, key) {
      const encoded = current.get(`${table}/${key}`)?.value
      return encoded === undefined ? undefined : JSON.parse(Buffer.from(encoded, 'base64').toString())
    },
    setFault (next) {
      fault = next
      staleVersion = version
    },
    dropHistory () { oldest = version + 1 },
    version: () => version,
    restore (lost) {
      version = Math.max(0, version - lost)
      history = history.filter(({ ver }) => ver <= version)
      current.clear()
      for (const row of history) {
        if (row.value === undefined) current.delete(`${row.table}/${row.key}`)
        else current.set(`${row.table}/${row.key}`, row)
      }
      if (era !== undefined) era += 1
      server.closeAllConnections()
    },
    calls: () => calls,
    async close () {
      server.closeAllConnections()
      await new Promise((resolve) => { server.close(resolve) })
    }
  }
}
