/** An entry of another writer in the list of runners: most fields are missing, and its key is no name that fits a header. */
import { Agent } from 'node:http'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { answerHead, callEdge, freePort, HAS_TROUBLE, manifest, runCase, sleep, startEdge, startRunner, startStore } from '../lib/harness.mjs'

const TRAFFIC_MS = 24_000
/** When the entry is written, and for how long it stays. */
const WRITTEN_AFTER_MS = 5000
const PRESENT_MS = 12_000
/** Key of an entry that somebody has written by hand. */
const STRAY_KEY = 'teste-padaria-\u2116-2'
/** Closed kept channels that the rule allows. */
const ALLOWED = 3

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { note } = context
  const store = await startStore(context)
  store.put('op', 'config', manifest(1, [
    { name: 'book', prefix: '/book/', kind: 'unsafe', service: 'bookings', timeoutMs: 1000 },
    { name: 'ask', prefix: '/ask/', kind: 'streaming', service: 'llm', timeoutMs: 5000 }
  ], [{ name: 'bookings' }, { name: 'llm' }]))

  /** Requests that a runner got; all runners are sound. */
  const atSound = new Set()

  function book (request) {
    atSound.add(request.identifier)
    setTimeout(() => { request.socket.write(`${answerHead(request, { headers: ['Content-Length: 2'] })}ok`) }, 20)
  }
  function ask (request) {
    atSound.add(request.identifier)
    request.socket.write(answerHead(request, { headers: ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'] }))
    let number = 0
    const timer = setInterval(() => {
      number += 1
      const text = `id: ${number}\ndata: word\n\n`
      request.socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
      if (number < 12) return
      clearInterval(timer)
      request.socket.write('0\r\n\r\n')
    }, 100)
    request.socket.on('close', () => { clearInterval(timer) })
  }

  for (const index of [0, 1, 2, 3]) {
    await startRunner(context, { id: `book-${index}`, service: 'bookings', zone: 'abc'[index % 3], store, slots: 6, respond: book })
  }
  for (const index of [0, 1, 2]) {
    await startRunner(context, { id: `llm-${index}`, service: 'llm', zone: 'abc'[index], store, respond: ask })
  }
  const edges = []
  for (const zone of ['a', 'b', 'c']) edges.push(await startEdge(context, { name: `front-${zone}`, zone, store }))
  await sleep(4000)

  const lost = []
  const counts = { sent: 0, whole: 0 }
  const end = performance.now() + TRAFFIC_MS

  /** A requester that keeps one channel open and sends one request after the other. */
  async function requester (edge, path, pause) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    let isKept = false
    while (performance.now() < end) {
      const result = await callEdge(edge, { agent, path: `${path}x` })
      counts.sent += 1
      const isWhole = result.status === 200 && result.complete
      if (isWhole) counts.whole += 1
      note(`${edge.name}: ${path} ${result.identifier} ${result.status ?? 'closed'}${isWhole ? '' : ` ${result.error ?? ''}`}`)
      if (isKept && !result.complete && atSound.has(result.identifier)) lost.push(`${result.identifier} at ${edge.name}`)
      isKept = result.complete
      await sleep(result.complete ? pause : 300)
    }
    agent.destroy()
  }
  async function writeStrayEntry () {
    await sleep(WRITTEN_AFTER_MS)
    if (!HAS_TROUBLE) return
    const address = `127.0.0.1:${await freePort('127.0.0.1')}`
    // Without version, coldRemainingMs, sequence and born, which all entries of runners have.
    store.put('servers', STRAY_KEY, { service: 'bookings', address, zone: 'a', slots: 6, state: 'ready' })
    note(`another writer adds the entry ${STRAY_KEY}`)
    await sleep(PRESENT_MS)
    store.remove('servers', STRAY_KEY)
    note('the entry is removed')
  }
  await Promise.all([writeStrayEntry(), ...edges.flatMap((edge) => [
    ...Array.from({ length: 10 }, async () => { await requester(edge, '/book/', 100) }),
    ...Array.from({ length: 8 }, async () => { await requester(edge, '/ask/', 50) })
  ])])

  const ends = edges.flatMap(({ name, ends: all }) => all.map(({ code, signal }) => `${name} with ${code ?? signal}`))
  note(`${counts.sent} requests, ${counts.whole} whole answers`)
  note(`processes that ended by themselves: ${ends.length}`)
  for (const edge of edges) {
    for (const line of edge.log.filter((one) => one.includes('edge.fault'))) note(`${edge.name}: ${line.slice(0, 300)}`)
  }
  return lost.length > ALLOWED
    ? [`${lost.length} kept channels were closed without an answer while a sound runner ran their request; ${ends.length} processes ended by themselves`]
    : []
})
