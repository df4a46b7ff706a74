/** Starts edge daemons as the deploy file says, and keeps the record of a case. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..')

const RUN_COMMAND = /^run = "node (.*)"$/m
const READY_TIMEOUT_MS = 20_000

/** Bounds of a deployment like Fornada Viva's. */
const BOUNDS = {
  strictRevocation: true,
  revocationMs: 5000,
  budgetWindowS: 10,
  budgetRatio: 0.2,
  extraRetries: 58,
  quotaWindowS: 8,
  quotaOverage: 0.1,
  quotaSlack: 110_000,
  versionMs: 12_000,
  leaseMs: 3000,
  gracePeriodS: 8,
  exposureShare: 0.1
}

const CONTRACTS = 'base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,rollout,platform'

export const sleep = async (milliseconds) => await new Promise((resolve) => { setTimeout(resolve, milliseconds) })

export async function until (condition, timeout, what) {
  const end = performance.now() + timeout
  while (!await condition()) {
    if (performance.now() > end) throw new Error(`${what}: not within ${timeout} ms`)
    await sleep(10)
  }
}

/** Returns a port that was free a moment ago. */
export async function freePort () {
  const server = createServer()
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address()
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

/** Sends one request and resolves with what came back; `status` is 0 if the connection ended without an answer. */
export async function send (port, { method = 'GET', path, headers, body, agent = false, timeout = 15_000 }) {
  return await new Promise((resolve) => {
    const outgoing = request({
      host: '127.0.0.1', port, method, path, agent, headers: { ...headers, ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }) }
    }, (response) => {
      const chunks = []
      response.on('data', (chunk) => { chunks.push(chunk) })
      response.on('error', () => {})
      response.on('close', () => {
        resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), complete: response.complete })
      })
    })
    outgoing.setTimeout(timeout, () => { outgoing.destroy() })
    outgoing.on('error', (error) => { resolve({ status: 0, headers: {}, body: '', complete: false, error: error.message }) })
    outgoing.end(body)
  })
}

function lookUp (fields, name) {
  const value = name.split('.').reduce((present, part) => present?.[part], fields)
  return value === undefined ? '' : String(value)
}

/** Renders the settings template of the deploy file. */
function renderSettings (fields) {
  const template = readFileSync(join(ROOT, 'deploy/settings.ini.template'), 'utf8')
  const withZones = template.replace(/^\{\{#zones\}\}\n([^]*?)^\{\{\/zones\}\}\n/gm, (_match, line) => (
    Object.entries(fields.zones).map(([zone, region]) => line.replace('{{@}}', zone).replace('{{.}}', region)).join('')
  ))
  return withZones.replace(/\{\{([\w.]+)\}\}/g, (_match, name) => lookUp(fields, name))
}

/** A case: its record, the processes that it started and its temporary folder. */
export function openCase (folder) {
  const directory = mkdtempSync(join(tmpdir(), 'review-'))
  const startedAt = Date.now()
  const lines = []
  const children = new Set()
  const closers = []

  function record (text, at = Date.now()) {
    lines.push(`${((at - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`)
  }

  function start (command, args, options) {
    const child = spawn(command, args, options)
    children.add(child)
    child.on('exit', (code, signal) => {
      children.delete(child)
      if (!child.isExpectedToEnd) record(`process ${child.pid} ended by itself (${code ?? signal})`)
    })
    return child
  }

  /** Ends all processes and stand-ins that were started until now. */
  function endAll () {
    for (const child of children) {
      child.isExpectedToEnd = true
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    for (const closer of closers.splice(0)) closer()
  }

  return {
    record,
    start,
    onClose (closer) { closers.push(closer) },
    /** Starts an edge daemon; resolves when it is ready. */
    async startEdge (nodeName, storePort, { zone = 'norte-a' } = {}) {
      const [front, ready, peer, metrics] = await Promise.all([0, 1, 2, 3].map(freePort))
      const settings = join(directory, `${nodeName}.ini`)
      writeFileSync(settings, renderSettings({
        nodeName,
        zone,
        ipAddress: '127.0.0.1',
        internalPortRange: [peer, peer],
        listenAddresses: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
        platform: { address: `127.0.0.1:${storePort}` },
        bounds: BOUNDS,
        limits: { memoryMb: 200, fileDescriptors: 4100 },
        contracts: CONTRACTS,
        zones: { 'norte-a': 'pt-norte', 'norte-b': 'pt-norte' }
      }).replace(/:9464$/m, `:${metrics}`))
      const [, command] = RUN_COMMAND.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
      const child = start('node', command.split(' '), {
        cwd: ROOT, env: { PATH: process.env.PATH, WAXWINGSPOKE_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'pipe']
      })
      let output = ''
      for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk) => { output += chunk })
      const edge = { nodeName, front, ready, metrics, process: child, output: () => output }
      const isReady = async () => (await send(ready, { path: '/readiness', headers: {}, timeout: 1000 })).status === 200
      try {
        await until(isReady, READY_TIMEOUT_MS, `${nodeName} ready`)
      } catch (error) {
        throw new Error(`${error.message}; its output:\n${output}`)
      }
      record(`${nodeName} is ready`)
      return edge
    },
    endAll,
    close () {
      endAll()
      rmSync(directory, { recursive: true })
      writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
    }
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. */
export async function runCase (folder, play) {
  const present = openCase(folder)
  const limit = setTimeout(() => {
    present.record('the case took too long')
    present.close()
    process.exit(2)
  }, 110_000)
  // Whatever happens, no process is left behind.
  for (const event of ['unhandledRejection', 'uncaughtException', 'SIGTERM', 'SIGINT']) {
    process.once(event, (reason) => {
      present.record(`could not run: ${reason?.stack ?? reason}`)
      process.stderr.write(`could not run: ${reason?.stack ?? reason}\n`)
      present.close()
      process.exit(2)
    })
  }
  let code = 2
  try {
    const verdict = await play(present)
    code = verdict.broken ? 1 : 0
    present.record(`${verdict.broken ? 'BROKEN' : 'held'}: ${verdict.text}`)
    process.stdout.write(`${verdict.broken ? 'BROKEN' : 'held'}: ${verdict.text}\n`)
  } catch (error) {
    present.record(`could not run: ${error.stack}`)
    process.stderr.write(`could not run: ${error.stack}\n`)
  }
  clearTimeout(limit)
  present.close()
  process.exit(code)
}
