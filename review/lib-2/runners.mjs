/** Starts stand-ins of runners and keeps their entries in the store, as runners do. */
import { join } from 'node:path'
import { ROOT, until } from './fleet.mjs'

const HEARTBEAT_MS = 1200

/** Starts a runner; its entry is written once per heartbeat while it isn't stopped. */
export async function startRunner (present, store, { id, service, kind, model, version = 1, loadMs, zone = 'norte-a' }, onEvent = () => {}) {
  const options = JSON.stringify({ id, kind, model, version, loadMs })
  const child = present.start('node', [join(ROOT, 'review/lib-2/runner.mjs'), options], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
  const runner = { id, port: undefined, version, process: child, events: [], isStopped: false }
  let sequence = 0
  const born = Date.now()
  function register () {
    if (runner.isStopped || child.exitCode !== null) return
    sequence += 1
    store.put('servers', id, {
      service,
      address: `127.0.0.1:${runner.port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
      born,
      ...(kind === 'engine' ? { stage: 'both', models: [{ name: model, version: runner.version, adapters: [] }] } : {})
    })
  }
  child.on('message', (event) => {
    if (event.event === 'listening') runner.port = event.port
    if (event.event === 'loaded') {
      runner.version = event.version
      register()
    }
    runner.events.push(event)
    onEvent(event)
  })
  await until(() => runner.port !== undefined, 10_000, `${id} listening`)
  register()
  const timer = setInterval(register, HEARTBEAT_MS)
  present.onClose(() => { clearInterval(timer) })
  return runner
}

/** Operator's manifest of a small deployment with one model service and one plain service. */
export function manifest (version, tenants) {
  return {
    version,
    routes: [
      { name: 'sheet', host: 'shop.example', prefix: '/sheet/', kind: 'streaming', service: 'forno-llm', timeoutMs: 4000, targetLatencyMs: 400, priority: 1, maxAttempts: 1, allowAnonymous: false, stickySessions: true, resumable: false, targetGapMs: 300 },
      { name: 'place', host: 'shop.example', prefix: '/place/', kind: 'unsafe', service: 'encomendas-app', timeoutMs: 1000, targetLatencyMs: 121, priority: 0, maxAttempts: 1, allowAnonymous: false, stickySessions: false, resumable: false }
    ],
    services: [
      { name: 'forno-llm', healthCheckPath: '/health', connectionLimit: 630, protocol: 'h1', tls: false, engine: { slots: 128, kvCacheTokens: 184_472, tokenKvBytes: 18_432, linkMbps: 370_000, models: [{ name: 'sheets' }] } },
      { name: 'encomendas-app', healthCheckPath: '/health', connectionLimit: 110, protocol: 'h1', tls: false }
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    tenants
  }
}

export function tenant (name, apiKeys, values = {}) {
  return { name, apiKeys, priority: 1, unit: 'token_count', uncachedTokens: 200, isolated: false, ratePerS: 0, burst: 0, ...values }
}
