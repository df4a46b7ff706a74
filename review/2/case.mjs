/** Runners that spoil one byte in the first line of a few of their answers, beside sound runners that stream. */
import { Agent } from 'node:http'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { answerHead, callEdge, HAS_TROUBLE, manifest, runCase, sleep, startEdge, startRunner, startStore } from '../lib/harness.mjs'

const TRAFFIC_MS = 14_000
/** When runners begin to spoil answers, and for how long: the longest time on the site. */
const GARBLE_AFTER_MS = 3000
const GARBLE_MS = 5500
/** Share of a faulty runner's answers with a spoiled byte: one in 50 is 0.02, the dose of the pages. */
const SPOIL_EVERY = 50
/** Closed kept channels that the rule allows. */
const ALLOWED = 3

/** Spoiled first lines: each differs from `HTTP/1.1 200 OK` by one byte. */
const SPOILED = ['200 O\u0001', '000 OK', '200 \u0010K']

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { note } = context
  const store = await startStore(context)
  store.put('op', 'config', manifest(1, [
    { name: 'book', prefix: '/book/', kind: 'unsafe', service: 'bookings', timeoutMs: 1000 },
    { name: 'ask', prefix: '/ask/', kind: 'streaming', service: 'llm', timeoutMs: 5000 }
  ], [{ name: 'bookings' }, { name: 'llm' }]))

  /** Request identifiers that a sound runner got, and those whose answer was spoiled. */
  const atSound = new Set()
  const spoiled = new Set()
  let isGarbling = false

  function book (request, runner) {
    setTimeout(() => {
      if (isGarbling) runner.answers = (runner.answers ?? 0) + 1
      const isSpoiled = isGarbling && runner.isFaulty && runner.answers % SPOIL_EVERY === 0
      const status = isSpoiled ? SPOILED[(runner.answers / SPOIL_EVERY - 1) % SPOILED.length] : '200 OK'
      if (isSpoiled) {
        spoiled.add(request.identifier)
        note(`${runner.id}: answers ${request.identifier} with ${JSON.stringify(`HTTP/1.1 ${status}`)}`)
      }
      request.socket.write(`${answerHead(request, { status, headers: ['Content-Length: 2'] })}ok`, 'latin1')
    }, 20)
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
    const runner = await startRunner(context, { id: `book-${index}`, service: 'bookings', zone: 'abc'[index % 3], store, slots: 6, respond: book })
    runner.isFaulty = index < 2
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
  async function garble () {
    await sleep(GARBLE_AFTER_MS)
    isGarbling = HAS_TROUBLE
    await sleep(GARBLE_MS)
    isGarbling = false
    note('all runners are sound from now on')
  }
  await Promise.all([garble(), ...edges.flatMap((edge) => [
    ...Array.from({ length: 10 }, async () => { await requester(edge, '/book/', 100) }),
    ...Array.from({ length: 8 }, async () => { await requester(edge, '/ask/', 50) })
  ])])

  const ends = edges.flatMap(({ name, ends: all }) => all.map(({ code, signal }) => `${name} with ${code ?? signal}`))
  note(`${counts.sent} requests, ${counts.whole} whole answers, ${spoiled.size} spoiled answers`)
  note(`processes that ended by themselves: ${ends.length}`)
  for (const edge of edges) {
    for (const line of edge.log.filter((one) => one.includes('edge.fault'))) note(`${edge.name}: ${line.slice(0, 300)}`)
  }
  return lost.length > ALLOWED
    ? [`${lost.length} kept channels were closed without an answer while a sound runner ran their request; ${ends.length} processes ended by themselves`]
    : []
})
