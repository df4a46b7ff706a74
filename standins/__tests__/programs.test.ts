/** The stand-in programs as processes of their own, over real sockets. */
import { spawn } from 'node:child_process'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, it, vi } from 'vitest'
import { createHttpPlatformClient } from '../../src/platform/httpPlatformClient'
import { createHttpUpstreamClient, progressOf } from '../../src/upstream/engineClient'
import type { EngineCompletionRequest } from '../../src/upstream/types'
import type { JournalEntry } from '../journal'
import { controlStandin, standinProgram, startProcess } from '../process'
import type { StandinProcess } from '../process'

const closers: Array<() => Promise<unknown>> = []
afterEach(async () => {
  await Promise.all(closers.splice(0).map(async (close) => await close()))
})

async function start (name: Parameters<typeof standinProgram>[0], ...flags: string[]): Promise<StandinProcess> {
  const standin = await startProcess(standinProgram(name), flags)
  closers.push(standin.stop)
  return standin
}

function createClient () {
  const client = createHttpUpstreamClient({ controlTimeout: 1000 })
  closers.push(client.close)
  return client
}

const timeouts = { connect: 1000, firstByte: 1000, betweenChunks: 500, whole: 10_000 }
const never = new AbortController().signal
const order: EngineCompletionRequest = {
  requestIdentifier: 'r', attempt: 1, model: 'model', version: 'v2', adapter: '', prompt: 'p', maximumOutputTokens: 100, priority: 0, blockKeys: ['0123456789abcdef'], cacheSalt: 's', resumeFrom: 0, resumeText: ''
}

it('engine and platform: load from the weight store, complete, export and import by another engine', async () => {
  const platform = await start('platform', '--load-ms', '50')
  const flags = ['--platform', platform.url, '--loaded', 'model@v1', '--decode', '1000']
  const [first, second] = await Promise.all([start('engine', ...flags), start('engine', ...flags)])
  const client = createClient()
  for (const engine of [first, second]) {
    await client.order(engine.endpoint, { kind: 'load', model: 'model', version: 'v2', adapter: '', fencingToken: 1 })
  }
  let text = ''
  for await (const chunk of client.complete(first.endpoint, order, timeouts, never)) text += chunk.text
  expect(text).toHaveLength(400)
  await client.exportBlocks(first.endpoint, order.blockKeys)
  const incarnation = await client.probe(second.endpoint)
  expect(await client.importBlocks(second.endpoint, incarnation - 1, order.blockKeys)).toBe(0)
  expect(await client.importBlocks(second.endpoint, incarnation, order.blockKeys)).toBe(1)
  expect((await client.cacheEvents(second.endpoint, 0)).events).toMatchObject([{ sequence: 1, kind: 'stored' }])
})

it('an engine that is killed or frozen in a stream ends the attempt within its time limit', async () => {
  const client = createClient()
  for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
    const engine = await start('engine', '--loaded', 'model@v2')
    const stream = client.complete(engine.endpoint, order, timeouts, never)
    const consume = async (): Promise<void> => {
      for await (const chunk of stream) if (chunk.index === 2) engine.signal(signal)
    }
    const error: unknown = await consume().catch((failure: unknown) => failure)
    expect(error).toMatchObject({ code: signal === 'SIGKILL' ? 'upstream_failed' : 'upstream_timeout' })
    expect(progressOf(error)).toBe('started')
    await engine.stop()
  }
})

function pause (): void {
  const end = performance.now() + 600
  while (performance.now() < end) { /* blocks the event loop as SIGSTOP would */ }
}

it('a pause of this process longer than the time limit loses no answer of the platform', async () => {
  const platform = await start('platform')
  await controlStandin(platform.url, 'PUT', 'faults', { latency: 20 })
  const client = createHttpPlatformClient({ endpoint: platform.endpoint, totalTimeout: 300 })
  closers.push(client.close)
  for (let round = 0; round < 5; round++) {
    const committed = client.commit({ identifier: 't', conditions: [], writes: [{ table: 't', key: 'k', value: round }] })
    // By then the request has been sent, and the answer comes during the pause.
    setTimeout(() => setImmediate(pause), 5)
    expect((await committed).version).toBe(round + 1)
  }
})

it('a pause of this process longer than the time limits fails no stream whose bytes arrived meanwhile', async () => {
  const client = createClient()
  const engine = await start('engine', '--loaded', 'model@v2', '--decode', '100')
  let received = 0
  for await (const chunk of client.complete(engine.endpoint, order, { ...timeouts, betweenChunks: 300 }, never)) {
    received++
    // The pause falls into the next wait for bytes, right before timers run.
    if (chunk.index % 25 === 5) setImmediate(pause)
  }
  expect(received).toBe(101)
})

it('service: one call runs once, and a crash before or after it shows in the journal only', async () => {
  const client = createClient()
  const service = await start('service')
  const call = {
    requestIdentifier: 'c', attempt: 1, method: 'POST', path: '/orders?x=1', headers: { 'content-type': 'text/plain' }, body: Buffer.from('two buns')
  }
  const answer = await client.call(service.endpoint, call, timeouts, never)
  expect(answer.status).toBe(200)
  await controlStandin(service.url, 'PUT', 'faults', { failures: 1 })
  expect((await client.call(service.endpoint, call, timeouts, never)).status).toBe(500)
  await controlStandin(service.url, 'PUT', 'faults', { refusals: 1 })
  const refused: unknown = await client.call(service.endpoint, call, timeouts, never).catch((error: unknown) => error)
  expect(progressOf(refused)).toBe('notSent')
  const { entries } = await controlStandin<{ entries: unknown[] }>(service.url, 'GET', 'journal')
  expect(entries).toHaveLength(2)
  await controlStandin(service.url, 'PUT', 'faults', { crash: 'after' })
  const crashed: unknown = await client.call(service.endpoint, call, timeouts, never).catch((error: unknown) => error)
  expect(progressOf(crashed)).toBe('maybeStarted')
  expect(await service.exited).toBe('SIGKILL')
})

it('relay: cut, silence on open connections only, and delay', async () => {
  const platform = await start('platform')
  const relay = await start('relay', '--target', `127.0.0.1:${platform.endpoint.port}`)
  const client = createHttpPlatformClient({ endpoint: relay.endpoint, totalTimeout: 500 })
  closers.push(client.close)
  const read = async (): Promise<string> => await client.readRow('t', 'k').then(() => 'answered', () => 'failed')
  expect(await read()).toBe('answered')
  await controlStandin(relay.controlUrl, 'PUT', 'faults', { silence: 'existing' })
  expect([await read(), await read()]).toEqual(['failed', 'answered'])
  await controlStandin(relay.controlUrl, 'PUT', 'faults', { silence: 'off', cut: true })
  expect(await read()).toBe('failed')
  await controlStandin(relay.controlUrl, 'PUT', 'faults', { cut: false, delay: 100 })
  const began = performance.now()
  expect(await read()).toBe('answered')
  expect(performance.now() - began).toBeGreaterThan(180)
})

it('the journal file of a service outlives its crash, and SIGTERM lets running calls finish', async () => {
  const client = createClient()
  const directory = await mkdtemp(join(tmpdir(), 'journal-'))
  closers.push(async () => { await rm(directory, { recursive: true }) })
  const file = join(directory, 'journal.jsonl')
  const crashing = await start('service', '--journal', file)
  const call = { requestIdentifier: 'c', attempt: 1, method: 'POST', path: '/orders', headers: {}, body: Buffer.from('x') }
  await controlStandin(crashing.url, 'PUT', 'faults', { crash: 'after' })
  await client.call(crashing.endpoint, call, timeouts, never).catch(() => undefined)
  await crashing.exited
  const entries = (await readFile(file, 'utf8')).trim().split('\n').map((line) => JSON.parse(line) as JournalEntry)
  expect(entries.at(-1)).toMatchObject({ event: 'finished', requestIdentifier: 'c', outcome: 'complete' })

  const leaving = await start('service', '--call-ms', '300')
  const running = client.call(leaving.endpoint, call, timeouts, never)
  await vi.waitFor(async () => {
    expect((await controlStandin<{ running: number }>(leaving.url, 'GET', 'state')).running).toBe(1)
  })
  leaving.signal('SIGTERM')
  expect((await running).status).toBe(200)
  expect(await leaving.exited).toBe(0)
})

it('a stopped helper leaves no process behind, even one that was frozen', async () => {
  const engine = await start('engine')
  engine.signal('SIGSTOP')
  await engine.stop()
  expect(() => process.kill(engine.pid, 0)).toThrow('ESRCH')
})

it('a stand-in ends when the process that started it is killed', async () => {
  const script = `import { startProcess, standinProgram } from './standins/process.ts'
    const relay = await startProcess(standinProgram('relay'), ['--target', '127.0.0.1:1'])
    console.log(relay.pid)`
  const parent = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', script])
  const pid = Number(await new Promise<string>((resolve) => parent.stdout.once('data', (data) => resolve(String(data)))))
  expect(process.kill(pid, 0)).toBe(true)
  parent.kill('SIGKILL')
  await vi.waitFor(() => { expect(() => process.kill(pid, 0)).toThrow('ESRCH') }, { timeout: 5000 })
})

it('a program that cannot start is reported with its output', async () => {
  const taken = await start('platform')
  await expect(startProcess(standinProgram('platform'), ['--port', String(taken.endpoint.port)])).rejects.toThrow('EADDRINUSE')
})
