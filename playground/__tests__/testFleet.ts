/** A fleet for the end-to-end cases: two engines, one plain service and routers, with keys for two customers. */
import { randomBytes, randomUUID } from 'node:crypto'
import { existsSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { applyConfiguration } from '../../src/configuration/apply'
import { readFleetConfiguration } from '../../src/configuration/fleetConfiguration'
import { grantKey } from '../../src/customer/keyStore'
import { InternalError } from '../../src/errors'
import { streamCompletion, waitFor, waitReady } from '../client'
import type { StreamedAnswer } from '../client'
import { startFleet } from '../fleet'
import type { Fleet, Router, RouterOptions, Upstream } from '../fleet'

const PROGRAMS = fileURLToPath(new URL('../../dist', import.meta.url))

export const CONFIGURATION = `
[data-centre north]
weight = 1
[customer bakery]
rate = 200000
burst = 400000
[model chat]
version = v1
maximum_output_tokens = 64
[route orders]
path = /orders
service = ordering
methods = GET, POST
idempotent_methods = GET
`

/** Engines decode 64 tokens in about 0.6 s, long enough to fail in the middle. */
const ENGINE_PARAMETERS = ['--loaded', 'chat@v1', '--prefill', '200000', '--decode', '100', '--slots', '64']

/**
 * Short limits, so that a silent engine is noticed within a test while a machine under load does not pass for one, and a
 * grace period that the requests of the SIGTERM case stay inside of on a busy machine.
 */
const SETTINGS = `
[attempt]
between_chunks = 1500ms
[shutdown]
grace = 5s
`

export interface TestFleet {
  fleet: Fleet
  engines: [Upstream, Upstream]
  service: Upstream
  routers: Router[]
  key: string
  keyHash: string
  complete: (
    router: Router, prompt: string,
    more?: { onText?: (text: string) => void, key?: string, tokens?: number, signal?: AbortSignal }
  ) => Promise<StreamedAnswer>
  startEngine: (name: string) => Promise<Upstream>
  startRouter: (name: string, more?: Pick<RouterOptions, 'replaces' | 'platformUrl'>) => Promise<Router>
}

/** Starts the fleet and waits until every router serves. */
export async function startTestFleet (routerCount: number, settings = SETTINGS): Promise<TestFleet> {
  if (!existsSync(`${PROGRAMS}/waxwingspoke`)) throw new InternalError('dist/waxwingspoke is missing: run npm run build first')
  const fleet = await startFleet({ programs: PROGRAMS })
  try {
    return await fill(fleet, routerCount, settings)
  } catch (error) {
    await fleet.stop()
    throw error
  }
}

async function fill (fleet: Fleet, routerCount: number, settings: string): Promise<TestFleet> {
  const engine = async (name: string): Promise<Upstream> => {
    return await fleet.startEngine({ name, dataCentre: 'north', parameters: ENGINE_PARAMETERS })
  }
  const { key, record } = await grantKey(fleet.platform, 'bakery', randomBytes(32), randomUUID(), Date.now())
  const engines: [Upstream, Upstream] = [await engine('engine-1'), await engine('engine-2')]
  const service = await fleet.startService({ name: 'ordering-1', dataCentre: 'north', service: 'ordering' })
  const startRouter: TestFleet['startRouter'] = async (name, more = {}) => {
    return await fleet.startRouter({ name, dataCentre: 'north', settings, ...more })
  }
  const routers: Router[] = []
  for (let index = 1; index <= routerCount; index++) routers.push(await startRouter(`router-${index}`))
  // Applied after the start of all routers, each takes its part of the quota at once; an instance that starts later gets
  // its part when the others renew their grants, up to 10 s later.
  const configuration = readFleetConfiguration('fleet.ini', CONFIGURATION)
  await applyConfiguration(fleet.platform, configuration, 0, randomUUID(), Date.now())
  const complete: TestFleet['complete'] = async (router, prompt, { tokens = 64, ...more } = {}) => {
    return await streamCompletion({ url: router.callerUrl, key, prompt, maximumOutputTokens: tokens, ...more })
  }
  for (const router of routers) {
    await waitReady(router.callerUrl)
    // Buckets start empty; a first answer shows that quota, keys and engines are there.
    await waitFor(`${router.name} serves`, async () => (await complete(router, 'warm')).complete ? true : undefined, 20_000)
  }
  return { fleet, engines, service, routers, key, keyHash: record.hash, complete, startEngine: engine, startRouter }
}
