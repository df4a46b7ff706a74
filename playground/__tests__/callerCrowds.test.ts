/**
 * Guards against callers that end a router's process, or keep it busy for good, with what they send: requests of all customers
 * share its heap, its memory and its event loop. The cases run one after another, apart from the other tests; see vitest.config.ts.
 */
import { randomBytes, randomUUID } from 'node:crypto'
import { Agent, request as httpRequest } from 'node:http'
import { fileURLToPath } from 'node:url'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { openCrowd, readProcessUse, type Crowd, type CrowdMember } from '../../platform/__tests__/callerCrowd'
import { grantKey } from '../../src/customer/keyStore'
import type { Endpoint } from '../../src/types'
import { waitReady } from '../client'
import { startFleet, type Fleet, type Router } from '../fleet'

const PROGRAMS = fileURLToPath(new URL('../../dist', import.meta.url))

/** Memory of the machine in MB, the heap of Node.js in MB, and the descriptors, as the settings and the environment name them. */
const MACHINE_MB = 384
const HEAP_MB = 128
const DESCRIPTORS = 8192
const BODY_LIMIT = 4_194_304
/** The one ordinary request may be refused while the crowd is being dealt with; it is sent again for this time in ms. */
const ORDINARY_LIMIT_MS = 15_000
/** Time in ms after which an ordinary request is given up and sent again. */
const ANSWER_LIMIT_MS = 10_000
/** Bytes of an answer of the service that gives long ones, below what the router accepts. */
const LONG_ANSWER_BYTES = 8_000_000

const SETTINGS = `
[limits]
body = ${BODY_LIMIT}
memory = ${MACHINE_MB}MiB
descriptors = ${DESCRIPTORS}
`

const CONFIGURATION = `
[data-centre north]
weight = 1
[customer crowd]
rate = 100000000
burst = 400000000
[customer ordinary]
rate = 100000
burst = 100000
[model chat]
version = v1
maximum_output_tokens = 5000
[route orders]
path = /orders
service = ordering
methods = GET, POST
[route slow]
path = /slow
service = slow
methods = GET, POST
[route long]
path = /long
service = long
methods = GET
[route open]
path = /open
service = slow
methods = GET, POST
open = true
`

let fleet: Fleet
let router: Router
let endpoint: Endpoint
let crowdKey: string
let ordinaryKey: string
let crowd: Crowd | undefined
let agent: Agent

beforeEach(async () => {
  agent = new Agent({ keepAlive: true, maxSockets: 1 })
  fleet = await startFleet({ programs: PROGRAMS })
  const dataCentre = 'north'
  await Promise.all([
    // Streams of the crowd last for as long as it is looked at.
    fleet.startEngine({
      name: 'engine-1', dataCentre, parameters: ['--loaded', 'chat@v1', '--prefill', '2000000', '--decode', '100', '--slots', '4000']
    }),
    fleet.startService({ name: 'ordering-1', dataCentre, service: 'ordering' }),
    fleet.startService({ name: 'slow-1', dataCentre, service: 'slow', parameters: ['--call-ms', '1000'] }),
    fleet.startService({ name: 'long-1', dataCentre, service: 'long', parameters: ['--answer-bytes', String(LONG_ANSWER_BYTES)] })
  ])
  const grant = async (customer: string): Promise<string> => (
    (await grantKey(fleet.platform, customer, randomBytes(32), randomUUID(), Date.now())).key
  )
  crowdKey = await grant('crowd')
  ordinaryKey = await grant('ordinary')
  router = await fleet.startRouter({
    name: 'router-1', dataCentre, settings: SETTINGS, environment: { NODE_OPTIONS: `--max-old-space-size=${HEAP_MB}` }
  })
  await fleet.apply(CONFIGURATION)
  await waitReady(router.callerUrl)
  const { hostname, port } = new URL(router.callerUrl)
  endpoint = { host: hostname, port: Number(port) }
}, 60_000)

afterEach(async () => {
  crowd?.close()
  crowd = undefined
  agent?.destroy()
  await fleet?.stop()
}, 30_000)

let requests = 0

/** @param key empty for a caller without one */
function head (method: string, path: string, lines: readonly string[] = [], key = crowdKey): string {
  requests += 1
  return [
    `${method} ${path} HTTP/1.1`, 'Host: a', ...(key === '' ? [] : [`Authorization: Bearer ${key}`]), ...lines, '', ''
  ].join('\r\n')
}

function post (path: string, body: string, lines: readonly string[] = []): string {
  return `${head('POST', path, [`Content-Length: ${Buffer.byteLength(body)}`, ...lines])}${body}`
}

const CHAT = '/v1/chat/completions'

/** Returns a stream whose prompt is another one than that of any other request. */
function stream (): string {
  return post(CHAT, JSON.stringify({
    model: 'chat', stream: true, max_tokens: 5000, messages: [{ role: 'user', content: `question ${requests}` }]
  }))
}

/** Returns the requests in writes of about 64 KB. */
function ahead (count: number, request: () => string): Buffer[] {
  const parts: Buffer[] = []
  let text = ''
  for (let index = 0; index < count; index += 1) {
    text += request()
    if (text.length < 65_536 && index < count - 1) continue
    parts.push(Buffer.from(text))
    text = ''
  }
  return parts
}

function members (count: number, member: () => CrowdMember): CrowdMember[] {
  return Array.from({ length: count }, member)
}

/** Returns a body of the limit's length that repeats an item. */
function filled (start: string, item: string, end: string): string {
  return `${start}${item.repeat(Math.floor((BODY_LIMIT - start.length - end.length) / item.length)).slice(0, -1)}${end}`
}

const MESSAGE = '{"model":"chat","messages":[{"role":"user","content":'
const MANY_FIELDS = Array.from({ length: 700 }, (_, index) => `a${index}: b`)
const MANY_KEYS = `Cookie: ${Array.from({ length: 400 }, (_, index) => `api_key=k${10_000_000 + index}`).join(';')}`

const BEHAVIOURS: ReadonlyArray<{ name: string, members: () => CrowdMember[] }> = [
  {
    name: 'streams, one on each connection',
    members: () => members(1900, () => ({ parts: [Buffer.from(stream())] }))
  },
  {
    name: 'streams sent ahead on few connections',
    members: () => members(60, () => ({ parts: ahead(64, stream) }))
  },
  {
    name: 'streams sent ahead whose answers stay unread',
    members: () => members(60, () => ({ parts: ahead(64, stream), readRate: 0 }))
  },
  {
    name: 'calls sent ahead, each with its own idempotency key, whose answers stay unread',
    members: () => members(60, () => ({ parts: ahead(2000, () => post('/slow', 'order', [`Idempotency-Key: crowd-${requests}`])), readRate: 0 }))
  },
  {
    name: 'calls without a key sent ahead to an open route on many connections',
    members: () => members(1900, () => ({ parts: ahead(100, () => `${head('POST', '/open', ['Content-Length: 5'], '')}order`) }))
  },
  {
    name: 'prompts of the largest size',
    members: () => {
      const body = filled(`${MESSAGE}"`, 'xy', '"}],"max_tokens":5000}')
      return members(120, () => ({ parts: [Buffer.from(post(CHAT, body))] }))
    }
  },
  {
    name: 'bodies of many small values where a text is expected',
    members: () => {
      const body = filled(`${MESSAGE}[`, '0,', ']}]}')
      return members(20, () => ({ parts: [Buffer.from(post(CHAT, body))] }))
    }
  },
  {
    name: 'bodies of many empty objects in an unknown field',
    members: () => {
      const body = filled(`${MESSAGE}"a"}],"more":[`, '{},', ']}')
      return members(20, () => ({ parts: [Buffer.from(post(CHAT, body))] }))
    }
  },
  {
    name: 'bodies of values that are nested deeply',
    members: () => {
      const body = `${MESSAGE}"a"}],"more":${'['.repeat(2_000_000)}${']'.repeat(2_000_000)}}`
      return members(20, () => ({ parts: [Buffer.from(post(CHAT, body))] }))
    }
  },
  {
    name: 'calls with many keys and many header fields',
    members: () => members(60, () => ({ parts: ahead(20, () => head('GET', '/orders', [MANY_KEYS, ...MANY_FIELDS])) }))
  },
  {
    name: 'calls sent ahead, each with another long key that nobody has',
    members: () => members(16, () => ({ parts: ahead(1500, () => head('GET', '/orders', [], `${requests}-${'x'.repeat(15_000)}`)) }))
  },
  {
    name: 'bodies in large chunks that stop just short of their end',
    members: () => {
      const chunk = Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`)
      const parts = [Buffer.from(head('POST', CHAT, ['Transfer-Encoding: chunked'])), ...Array.from({ length: 63 }, () => chunk)]
      return members(120, () => ({ parts }))
    }
  },
  {
    name: 'bodies that stop short on many connections, with many header fields',
    members: () => members(1900, () => ({ parts: [Buffer.from(head('POST', CHAT, ['Content-Length: 1000', ...MANY_FIELDS]))] }))
  },
  {
    name: 'bodies of the largest size that wait for a slow service',
    members: () => {
      const body = 'x'.repeat(BODY_LIMIT)
      return members(120, () => ({ parts: [Buffer.from(post('/slow', body))] }))
    }
  },
  {
    name: 'long answers of a service that are never read',
    members: () => members(120, () => ({ parts: ahead(4, () => head('GET', '/long')), readRate: 0 }))
  },
  {
    name: 'long answers of a service that are read slowly',
    members: () => members(120, () => ({ parts: ahead(4, () => head('GET', '/long')), readRate: 1000 }))
  },
  {
    name: 'calls that repeat one idempotency key, whose long answer is stored, and never read it',
    members: () => {
      const repeated = (): string => head('GET', '/long', ['Idempotency-Key: crowd'])
      return [
        { parts: ahead(1, repeated) },
        ...members(120, () => ({ parts: ahead(4, repeated), readRate: 0, delay: 1200 }))
      ]
    }
  },
  {
    name: 'connections that are kept idle after a body of the largest size',
    members: () => {
      const parts = [Buffer.from(post('/orders', 'x'.repeat(BODY_LIMIT)))]
      return Array.from({ length: 80 }, (_, index) => ({ parts, delay: index * 100 }))
    }
  },
  {
    name: 'connections that are kept idle after a request',
    members: () => members(3900, () => ({ parts: [Buffer.from(head('GET', '/unknown'))] }))
  }
]

/** Returns the status of one ordinary call on a kept connection, or 0 if there was no answer. */
async function callOnce (): Promise<number> {
  return await new Promise((resolve) => {
    const request = httpRequest({
      ...endpoint, agent, method: 'POST', path: '/orders', headers: { authorization: `Bearer ${ordinaryKey}` }, timeout: ANSWER_LIMIT_MS
    }, (response) => {
      response.resume()
      response.on('end', () => { resolve(response.statusCode ?? 0) })
      response.on('error', () => { resolve(0) })
    })
    request.on('timeout', () => { request.destroy() })
    request.on('error', () => { resolve(0) })
    request.end('one order')
  })
}

/** Sends the ordinary call until it is served; returns the last status. */
async function ordinaryStatus (isAlive: () => boolean): Promise<number> {
  const end = performance.now() + ORDINARY_LIMIT_MS
  let status = 0
  do {
    status = await callOnce()
    if (status !== 200) await new Promise((resolve) => { setTimeout(resolve, 250) })
  } while (status !== 200 && isAlive() && performance.now() < end)
  return status
}

describe('a router stays alive and within its memory and descriptors, and serves an ordinary call, beside', () => {
  it.each(BEHAVIOURS.map((behaviour) => [behaviour.name, behaviour] as const))('%s', async (_name, behaviour) => {
    let exit: number | string | undefined
    router.program.exited.then((code) => { exit = code }).catch(() => {})
    const isAlive = (): boolean => exit === undefined
    expect(await ordinaryStatus(isAlive)).toBe(200)
    crowd = openCrowd(endpoint, behaviour.members())
    await crowd.settled()
    expect(exit).toBeUndefined()
    const status = await ordinaryStatus(isAlive)
    expect(exit).toBeUndefined()
    const use = readProcessUse(router.program.pid)
    if (process.env.PRINT_PROCESS_USE === '1') console.log(JSON.stringify({ status, ...use }))
    expect(status).toBe(200)
    expect(use.peakMb).toBeLessThan(MACHINE_MB)
    expect(use.descriptors).toBeLessThan(DESCRIPTORS)
  }, 120_000)
})
