/** Stand-in of the platform's store: rows, a feed of changes and conditional writes, as PROTOCOL describes them. */
import { createServer } from 'node:http'

const MAX_ROWS_PER_ANSWER = 500
const FEED_POLL_MS = 5

function encode ({ table, key, value, ver }) {
  return value === undefined ? { table, part: '', key, ver, removed: true } : { table, part: '', key, value, ver }
}

function byKey (one, other) {
  return Buffer.compare(Buffer.from(one.key), Buffer.from(other.key))
}

/**
 * @param {object} hooks
 * @param {(table: string) => number} [hooks.answerDelay] milliseconds that a call takes
 * @param {(row: object, by: string) => void} [hooks.onWrite] called for each row that the system writes
 * @param {(table: string, from: string) => void} [hooks.onPage] called when a page of a table has been read
 */
export async function startStore (hooks = {}) {
  const { answerDelay = () => 4, onWrite = () => {}, onPage = () => {} } = hooks
  const rows = new Map()
  const history = []
  let version = 0

  function write (table, key, value) {
    const row = { table, key, value, ver: version }
    if (value === undefined) rows.delete(`${table}/${key}`)
    else rows.set(`${table}/${key}`, row)
    history.push(row)
    return row
  }

  function answer (response, status, body) {
    const text = JSON.stringify({ ver: version, nowMs: Math.round(performance.now()), ...body })
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
  }

  const handlers = {
    '/rows-get' (url, body, response) {
      const table = url.searchParams.get('table')
      const from = url.searchParams.get('from') ?? ''
      const found = [...rows.values()].filter((row) => row.table === table && row.key >= from).sort(byKey)
      const page = found.slice(0, MAX_ROWS_PER_ANSWER)
      answer(response, 200, { rows: page.map(encode), hasMore: found.length > page.length })
      onPage(table, from)
    },
    '/rows-feed' (url, body, response) {
      const table = url.searchParams.get('table')
      const after = Number(url.searchParams.get('after'))
      const until = performance.now() + Number(url.searchParams.get('waitMs'))
      const look = () => {
        if (response.destroyed) return
        const changes = history.filter((row) => row.table === table && row.ver > after)
        if (changes.length === 0 && performance.now() < until) setTimeout(look, FEED_POLL_MS)
        else answer(response, 200, { rows: changes.map(encode) })
      }
      look()
    },
    '/rows-tx' (url, body, response) {
      const { precondition, writes, remove } = JSON.parse(body)
      const present = (row) => rows.get(`${row.table}/${row.key}`)
      if (!precondition.every((row) => (present(row)?.ver ?? 0) === row.ver)) {
        return answer(response, 412, { rows: precondition.flatMap((row) => present(row) ?? []).map(encode) })
      }
      version += 1
      const written = writes.map(({ table, key, value }) => write(table, key, value))
      for (const { table, key } of remove) write(table, key, undefined)
      answer(response, 200, {})
      for (const row of written) onWrite(row, Buffer.from(row.value, 'base64').toString())
    }
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    request.on('data', (chunk) => { chunks.push(chunk) })
    request.on('end', () => {
      const handler = handlers[url.pathname]
      if (handler === undefined) return answer(response, 404, {})
      setTimeout(() => { handler(url, Buffer.concat(chunks).toString(), response) }, answerDelay(url.searchParams.get('table')))
    })
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })

  return {
    port: server.address().port,
    /** Writes a row as the operator or a runner does. */
    put (table, key, value) {
      version += 1
      write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'))
    },
    remove (table, key) {
      version += 1
      write(table, key, undefined)
    },
    close () {
      server.closeAllConnections()
      server.close()
    }
  }
}
