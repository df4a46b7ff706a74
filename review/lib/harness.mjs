/**
 * Parts of the scripted cases: the edge daemon as processes, and small stand-ins of the store, runners and requesters.
 * Everything listens on loopback addresses; each daemon has one of its own, because some of its ports are fixed.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer, request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
/** Whether the disruption is part of this run. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** Bounds of a small deployment; the same figures as on the sites of the pages. */
export const BOUNDS = {
  contactWindowMs: 3000,
  drainMs: 2000,
  gracePeriodS: 8,
  configurationApplyMs: 2000,
  strictRevocation: true,
  revocationMs: 5000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  extraRetries: 54,
  quotaWindowS: 8,
  quotaOverage: 0.1,
  quotaSlack: 110000,
  leaseMs: 3000,
  versionMs: 10000,
  versionAllMs: 14000
}

export const sleep = async (milliseconds) => await new Promise((resolve) => { setTimeout(resolve, milliseconds) })

export async function until (condition, timeout, what) {
  const end = performance.now() + timeout
  while (!await condition()) {
    if (performance.now() > end) throw new Error(`timeout: ${what}`)
    await sleep(20)
  }
}

/** Runs one case: `body` returns the breaches of the rule as texts. Exits with 1, 0 or 2 as the issue asks. */
export async function runCase (folder, body) {
  const record = createWriteStream(join(folder, 'record.txt'))
  const startedAt = performance.now()
  const note = (text) => { record.write(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`) }
  const directory = mkdtempSync(join(tmpdir(), 'review-'))
  const closers = []
  let code = 2
  const watchdog = setTimeout(() => { finish('the case took too long', 2) }, 115_000)
  let finishing = false
  async function finish (text, exitCode) {
    if (finishing) return
    finishing = true
    clearTimeout(watchdog)
    for (const close of closers.reverse()) await Promise.race([close(), sleep(2000)]).catch(() => {})
    rmSync(directory, { recursive: true, force: true })
    note(text)
    process.stdout.write(`${text}\n`)
    await new Promise((resolve) => { record.end(resolve) })
    process.exit(exitCode)
  }
  process.on('uncaughtException', (error) => { finish(`the case could not run: ${error.stack}`, 2) })
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(`ended by ${signal}`, 2) })
  note(`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`)
  try {
    const breaches = await body({ note, directory, onClose: (close) => { closers.push(close) } })
    for (const breach of breaches) note(`breach: ${breach}`)
    code = breaches.length > 0 ? 1 : 0
    await finish(code === 1 ? `rule broken: ${breaches[0]}` : 'rule held', code)
  } catch (error) {
    await finish(`the case could not run: ${error.stack}`, 2)
  }
}

/** Port that is free at the address. */
export async function freePort (host) {
  const server = createServer()
  await new Promise((resolve, reject) => { server.once('error', reject).listen(0, host, resolve) })
  const { port } = server.address()
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

async function isFree (host, port) {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

/** Loopback address at which the fixed port of the metrics page is free. */
async function freeAddress () {
  for (let tries = 0; tries < 50; tries += 1) {
    const part = () => 2 + Math.floor(Math.random() * 250)
    const host = `127.${part()}.${part()}.${part()}`
    if (await isFree(host, 9464)) return host
  }
  throw new Error('no free loopback address')
}

/** Fills in the template of the deploy file as the platform does: a missing value is empty, and so is a section without one. */
function renderSettings (fields) {
  const template = readFileSync(join(ROOT, 'deploy/settings.ini.template'), 'utf8')
  return template.replace(/^\{\{#(\w+)\}\}\n[^]*?^\{\{\/\1\}\}\n/gm, '').replace(/\{\{([\w.]+)\}\}/g, (_all, path) => {
    const value = path.split('.').reduce((part, key) => part?.[key], fields)
    return String(value ?? '')
  })
}

/** Starts an edge daemon with the command of the deploy file. */
export async function startEdge ({ note, directory, onClose }, { name, zone, store, bounds = {} }) {
  const host = await freeAddress()
  const [front, ready, peer] = await Promise.all([freePort(host), freePort(host), freePort(host)])
  const file = join(directory, `${name}.ini`)
  writeFileSync(file, renderSettings({
    nodeName: name,
    zone,
    ipAddress: host,
    internalPortRange: [peer, peer + 15],
    listenAddresses: { front: `${host}:${front}`, ready: `${host}:${ready}` },
    platform: { address: store.address },
    bounds: { ...BOUNDS, ...bounds }
  }))
  const run = /^run = "node (.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
  const edge = { name, zone, host, port: front, readyPort: ready, log: [], ends: [], child: undefined, pid: undefined }
  let isStopped = false

  function start () {
    const child = spawn(process.execPath, run, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: directory, LANG: 'C', WAXWINGSPOKE_SETTINGS: file },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    edge.child = child
    edge.pid = child.pid
    let rest = ''
    const collect = (chunk) => {
      const lines = (rest + chunk).split('\n')
      rest = lines.pop()
      edge.log.push(...lines)
    }
    child.stdout.on('data', collect)
    child.stderr.on('data', collect)
    child.on('exit', (code, signal) => {
      if (isStopped) return
      edge.ends.push({ at: performance.now(), code, signal })
      note(`${name}: process ended with ${code ?? signal}`)
      // The platform starts a process again after a short delay.
      setTimeout(() => { if (!isStopped) start() }, 500)
    })
  }
  edge.signal = (signal) => { edge.child.kill(signal) }
  edge.isReady = async () => await new Promise((resolve) => {
    const probe = httpRequest({ host, port: ready, path: '/readiness', timeout: 500 }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    probe.on('error', () => { resolve(false) })
    probe.on('timeout', () => { probe.destroy() })
    probe.end()
  })
  onClose(async () => {
    isStopped = true
    const { child } = edge
    if (child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGKILL')
    await ended
  })
  start()
  await until(edge.isReady, 15_000, `${name} is ready`)
  note(`${name}: ready in ${zone}`)
  return edge
}

/** Stand-in of the platform's store: rows, a feed of changes and conditional writes. */
export async function startStore ({ onClose }) {
  const current = new Map()
  const history = []
  let version = 0
  const now = () => Math.round(performance.now())
  const waiting = new Set()
  const store = { address: '', isDown: false, calls: 0 }

  function write (table, key, value) {
    const row = { table, part: '', key, ver: version, ...(value === undefined ? { removed: true } : { value }) }
    if (value === undefined) current.delete(`${table}/${key}`)
    else current.set(`${table}/${key}`, row)
    history.push(row)
  }
  function changed () {
    for (const look of [...waiting]) look()
  }
  store.put = (table, key, value) => {
    version += 1
    write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'))
    changed()
  }
  store.remove = (table, key) => {
    if (!current.has(`${table}/${key}`)) return
    version += 1
    write(table, key, undefined)
    changed()
  }
  store.get = (table, key) => {
    const value = current.get(`${table}/${key}`)?.value
    return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString())
  }
  function send (response, status, body) {
    if (response.destroyed) return
    const text = JSON.stringify(body)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
  }
  const server = createHttpServer((request, response) => {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    request.on('data', (chunk) => { chunks.push(chunk) })
    request.on('end', () => {
      store.calls += 1
      if (store.isDown) return
      const table = url.searchParams.get('table')
      if (url.pathname === '/rows-get') {
        const rows = [...current.values()].filter((row) => row.table === table)
          .sort((one, other) => Buffer.compare(Buffer.from(one.key), Buffer.from(other.key)))
        return send(response, 200, { rows, hasMore: false, ver: version, nowMs: now() })
      }
      if (url.pathname === '/rows-feed') {
        const after = Number(url.searchParams.get('after'))
        const end = now() + Number(url.searchParams.get('waitMs'))
        const look = () => {
          const rows = history.filter((row) => row.table === table && row.ver > after)
          if (rows.length === 0 && now() < end && !response.destroyed) return
          waiting.delete(look)
          clearTimeout(timer)
          if (!store.isDown) send(response, 200, { rows, ver: version, nowMs: now() })
        }
        waiting.add(look)
        const timer = setTimeout(look, Math.max(0, end - now()) + 2)
        return look()
      }
      if (url.pathname === '/rows-tx') {
        const { precondition, writes, remove } = JSON.parse(Buffer.concat(chunks).toString())
        const present = (row) => current.get(`${row.table}/${row.key}`)
        if (precondition.some((row) => (present(row)?.ver ?? 0) !== row.ver)) {
          return send(response, 412, { rows: precondition.flatMap((row) => present(row) ?? []), ver: version, nowMs: now() })
        }
        version += 1
        for (const row of writes) write(row.table, row.key, row.value)
        for (const row of remove) write(row.table, row.key, undefined)
        changed()
        return send(response, 200, { ver: version, nowMs: now() })
      }
      send(response, 404, {})
    })
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  store.address = `127.0.0.1:${server.address().port}`
  onClose(async () => {
    server.closeAllConnections()
    server.close()
  })
  return store
}

/**
 * Stand-in of a runner on a plain socket. `respond` gets each request that asks for this runner and writes the answer.
 * The entry in the store is written anew with each heartbeat.
 */
export async function startRunner ({ note, onClose }, { id, service, zone, store, models, slots = 64, respond, report, order, downFor = 3000 }) {
  const runner = { id, service, arrivals: [], runs: [], isBeating: true, isDark: false, state: 'ready', sockets: new Set(), sequence: 0, models, born: Date.now() }
  let beats = 0

  function takeRequest (socket, text, body) {
    const [line, ...lines] = text.split('\r\n')
    const [method, path] = line.split(' ')
    const headers = Object.fromEntries(lines.map((one) => {
      const colon = one.indexOf(':')
      return [one.slice(0, colon).toLowerCase(), one.slice(colon + 1).trim()]
    }))
    const request = { socket, method, path, headers, body, identifier: headers['request-id'], at: performance.now() }
    const expected = headers['expected-instance']
    if (expected !== undefined && expected !== id) {
      socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    if (path === '/report') {
      const value = report?.(request)
      if (value === null) return
      sendJson(socket, 200, {
        stage: 'both',
        models: runner.models,
        busy: false,
        sequence: runner.sequence,
        waiting: 0,
        running: 0,
        kvCacheUsed: 0,
        kvCacheTotal: 90000,
        handles: 0,
        born: runner.born,
        ...value
      })
      return
    }
    if (path === '/order') {
      const fields = JSON.parse(body)
      note(`${id}: order ${fields.operation} ${fields.model} ${fields.version} of ${fields.holder}, fence ${fields.fencingToken}`)
      if (fields.precondition !== undefined && fields.precondition !== runner.sequence) return sendJson(socket, 409, {})
      runner.sequence += 1
      order?.(fields)
      return sendJson(socket, 202, {})
    }
    runner.arrivals.push(request)
    respond(request, runner)
  }
  function sendJson (socket, status, value) {
    const text = JSON.stringify(value)
    socket.write(`HTTP/1.1 ${status} x\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`)
  }
  const server = createServer((socket) => {
    runner.sockets.add(socket)
    if (runner.isDark) socket.pause()
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => { runner.sockets.delete(socket) })
    let pending = Buffer.alloc(0)
    socket.on('data', (chunk) => {
      pending = Buffer.concat([pending, chunk])
      for (;;) {
        const end = pending.indexOf('\r\n\r\n')
        if (end < 0) return
        const head = pending.toString('latin1', 0, end)
        if (head.trim() === '') {
          pending = pending.subarray(end + 4)
          continue
        }
        const length = Number(/^content-length: *(\d+)/mi.exec(head)?.[1] ?? 0)
        if (/^transfer-encoding:/mi.test(head)) {
          const last = pending.indexOf('0\r\n\r\n', end + 4)
          if (last < 0) return
          pending = pending.subarray(last + 5)
          takeRequest(socket, head.trimStart(), '')
          continue
        }
        if (pending.length < end + 4 + length) return
        const body = pending.toString('latin1', end + 4, end + 4 + length)
        pending = pending.subarray(end + 4 + length)
        takeRequest(socket, head.trimStart(), body)
      }
    })
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${server.address().port}`
  runner.register = () => {
    beats += 1
    store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: runner.state,
      coldRemainingMs: 0,
      sequence: beats,
      born: runner.born,
      ...(runner.models === undefined ? {} : { models: runner.models })
    })
  }
  /** The process ends; it starts again under its id and at its address some seconds later. */
  runner.crash = () => {
    const { port } = server.address()
    runner.isBeating = false
    server.close()
    for (const socket of runner.sockets) socket.resetAndDestroy()
    setTimeout(() => {
      runner.born = Date.now()
      runner.sequence = 0
      server.listen(port, '127.0.0.1', () => {
        runner.isBeating = true
        runner.register()
      })
    }, downFor)
  }
  /** The machine of the process is gone without a word, as after a loss of power; another run starts some seconds later. */
  runner.crashSilently = () => {
    runner.isBeating = false
    runner.isDark = true
    // Nothing more is read from or written to these channels.
    for (const socket of runner.sockets) socket.pause()
    setTimeout(() => {
      runner.born = Date.now()
      runner.sequence = 0
      runner.isDark = false
      runner.isBeating = true
      runner.register()
    }, downFor)
  }
  runner.unregister = () => { store.remove('servers', id) }
  runner.register()
  const timer = setInterval(() => { if (runner.isBeating) runner.register() }, 1200)
  onClose(async () => {
    clearInterval(timer)
    for (const socket of runner.sockets) socket.destroy()
    server.close()
  })
  return runner
}

/** Head of a sound answer. */
export function answerHead (request, { status = '200 OK', stamp = 'stamp', headers = [] } = {}) {
  return [
    `HTTP/1.1 ${status}`, `Request-Id: ${request.identifier}`, `Response-Stamp: ${stamp}`, ...headers, '', ''
  ].join('\r\n')
}

let requestCount = 0

/**
 * Sends one request as a requester does. Resolves to what the requester sees: status, body, and whether the answer is
 * complete. `agent` keeps channels open.
 */
export async function callEdge (edge, { agent, path, method = 'POST', headers = {}, body = 'x', host = 'shop.example', onHead, onData }) {
  requestCount += 1
  const identifier = `r${process.pid}x${requestCount}`
  const sentAt = performance.now()
  return await new Promise((resolve) => {
    const result = { identifier, sentAt, status: undefined, body: '', complete: false, error: undefined, headers: {} }
    const done = () => { resolve({ ...result, endedAt: performance.now() }) }
    const outgoing = httpRequest({
      host: edge.host,
      port: edge.port,
      path,
      method,
      agent,
      headers: {
        Host: host,
        'Request-Id': identifier,
        'Deadline-Milliseconds': '5000',
        Authorization: 'Token key-one',
        ...(method === 'GET' ? {} : { 'Content-Length': String(Buffer.byteLength(body)) }),
        ...headers
      }
    }, (response) => {
      result.status = response.statusCode
      result.headers = response.headers
      onHead?.(response)
      response.on('data', (chunk) => {
        result.body += chunk
        onData?.(chunk)
      })
      response.on('error', (error) => { result.error = error.message })
      response.on('close', () => {
        result.complete = response.complete
        done()
      })
    })
    outgoing.on('error', (error) => {
      result.error = error.message
      if (result.status === undefined) done()
    })
    outgoing.end(method === 'GET' ? undefined : body)
  })
}

/** Manifest of a small deployment. */
export function manifest (version, routes, services, values = {}) {
  return {
    version,
    routes: routes.map((route) => ({
      host: 'shop.example', targetLatencyMs: 300, priority: 1, maxAttempts: 1, ...route
    })),
    services,
    tenants: [{ name: 'one', apiKeys: ['key-one'], ratePerS: 0, burst: 0, unit: 'token_count' }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 1048576, headerTimeoutMs: 5000, idleTimeoutMs: 15000 },
    ...values
  }
}
