/**
 * Stand-in of a model runner or a plain service, as a process of its own. Arguments: a JSON object with `id`, `kind`
 * (`engine` or `plain`), `model`, `version`, `loadMs`. It tells its parent what it sees.
 */
import { createServer } from 'node:http'

const { id, kind, model, version, loadMs = 1100 } = JSON.parse(process.argv[2])
/** Milliseconds between the events of a stream. */
const EVENT_MS = 150

let weights = version
let sequence = 0
let isBusy = false
/** Runs in progress; an order waits until they have finished (`wait`). */
let running = 0
let pendingTarget
/** Whether streams go on until they are told to end. */
let holdsStreams = false
const heldStreams = new Set()
let silentAfterReport = false
/** Parts in memory, with the tenant whose request made them. */
const cache = new Map()
let stamps = 0

function tell (event) {
  process.send({ id, at: Date.now(), ...event })
}

/** Loads the weights that were ordered, once the runs before it have finished. */
function loadIfIdle () {
  if (pendingTarget === undefined || running > 0) return
  const target = pendingTarget
  pendingTarget = undefined
  setTimeout(() => {
    weights = target
    isBusy = false
    cache.clear()
    tell({ event: 'loaded', version: target })
  }, loadMs)
}

process.on('message', ({ holdStreams, endStreams, silenceAfterIdleReport }) => {
  if (holdStreams !== undefined) holdsStreams = holdStreams
  if (silenceAfterIdleReport !== undefined) silentAfterReport = silenceAfterIdleReport
  if (endStreams !== true) return
  for (const end of heldStreams) end()
  heldStreams.clear()
})
process.on('disconnect', () => { process.exit(0) })

function answer (response, status, headers, body = '') {
  response.writeHead(status, { 'Content-Length': Buffer.byteLength(body), ...headers }).end(body)
}

function order (request, response, body) {
  const { holder, fencingToken, version: target, precondition } = JSON.parse(body)
  const conflict = isBusy || (precondition !== undefined && precondition !== sequence)
  const status = conflict ? 409 : target === weights ? 200 : 202
  tell({ event: 'order', holder, fencingToken, target, status })
  if (status === 202) {
    sequence += 1
    isBusy = true
    pendingTarget = target
    loadIfIdle()
  }
  answer(response, status, {})
}

/** Reads the prompt: uses the parts that are in memory under the request's text, and keeps the others. */
function readPrompt (headers) {
  const salt = headers['cache-salt'] ?? ''
  const tenant = headers.tenant ?? ''
  const used = []
  let isPrefix = true
  for (const entry of (headers['prompt-prefix'] ?? '').split(',').filter((text) => text !== '')) {
    const part = entry.split(':')[0].trim()
    const key = `${salt}/${headers.model}/${part}`
    const madeBy = cache.get(key)
    if (isPrefix && madeBy !== undefined) used.push({ part, madeBy })
    else {
      isPrefix = false
      cache.set(key, tenant)
    }
  }
  return { salt, tenant, used }
}

function run (request, response, body) {
  const { headers } = request
  stamps += 1
  const common = { 'Request-Id': headers['request-id'], 'Response-Stamp': `${id}.${stamps}` }
  const prompt = kind === 'engine' ? readPrompt(headers) : { tenant: headers.tenant ?? '' }
  tell({ event: 'run', request: headers['request-id'], path: request.url, body, model: headers.model, tokenUsage: headers['token-usage'], promptPrefix: headers['prompt-prefix'], fields: request.rawHeaders.length / 2, ...prompt })
  if (kind !== 'engine') return answer(response, 200, common, 'the whole answer')
  response.writeHead(200, { ...common, 'Content-Type': 'text/event-stream', 'Weight-Versions': String(weights) })
  running += 1
  let number = 0
  const write = () => {
    number += 1
    response.write(`id: ${number}\ndata: piece\n\n`)
  }
  const timer = setInterval(write, EVENT_MS)
  const end = () => {
    clearInterval(timer)
    write()
    response.end()
    running -= 1
    loadIfIdle()
  }
  write()
  if (holdsStreams) heldStreams.add(end)
  else setTimeout(end, EVENT_MS)
}

const server = createServer((request, response) => {
  const { headers, url } = request
  const chunks = []
  request.on('data', (chunk) => { chunks.push(chunk) })
  request.on('end', () => {
    const body = Buffer.concat(chunks).toString()
    if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== id) {
      return answer(response, 421, { 'Instance-Id': id })
    }
    if (url === '/report') {
      const models = [{ name: model, version: weights, adapters: [] }]
      answer(response, 200, { 'Content-Type': 'application/json' }, JSON.stringify({
        stage: 'both', models, busy: isBusy, sequence, waiting: 0, running, kvCacheUsed: 0, kvCacheTotal: 184_472, handles: 0
      }))
      if (silentAfterReport && !isBusy) {
        silentAfterReport = false
        response.on('close', () => { tell({ event: 'idleReport' }) })
      }
      return
    }
    if (url === '/order') return order(request, response, body)
    if (url === '/health') return answer(response, 200, { 'Instance-Id': id })
    if (isBusy) return answer(response, 503, { 'Request-Id': headers['request-id'], 'Not-Executed': '1' })
    if (headers['expected-version'] !== undefined && Number(headers['expected-version']) !== weights) {
      return answer(response, 421, { 'Request-Id': headers['request-id'] })
    }
    run(request, response, body)
  })
})
// Otherwise Node.js drops header fields beyond the thousandth.
server.maxHeadersCount = 0
server.listen(0, '127.0.0.1', () => { tell({ event: 'listening', port: server.address().port }) })
