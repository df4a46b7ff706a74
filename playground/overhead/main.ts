/**
 * Measures what the router adds to a direct call: the same load through one router and directly to the same engine
 * stand-in, alternating in one run. Prints one JSON object. Run with `npm run overhead -- --streams 1,100,500`.
 */
import { randomBytes, randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { cac } from 'cac'
import { Agent } from 'undici'
import { applyConfiguration } from '../../src/configuration/apply'
import { readFleetConfiguration } from '../../src/configuration/fleetConfiguration'
import { grantKey } from '../../src/customer/keyStore'
import { planLoad } from '../../standins/load/plan'
import { runLoad } from '../../standins/load/run'
import type { LoadReport } from '../../standins/load/run'
import { createTarget } from '../../standins/load/targets'
import type { LoadMode } from '../../standins/load/targets'
import { streamCompletion, waitFor, waitReady } from '../client'
import { startFleet } from '../fleet'
import type { Fleet } from '../fleet'

const PROGRAMS = fileURLToPath(new URL('../../dist', import.meta.url))
const OUTPUT_TOKENS = 64
/** Tokens per second of one stream, as in the stated aim of 42 ms between tokens. */
const DECODE_RATE = 24
/** Clock ticks of `/proc/PID/stat` in a second on Linux. */
const TICKS_PER_SECOND = 100
const CONFIGURATION = `
[data-centre north]
weight = 1
[customer load]
rate = 10000000
burst = 20000000
[model model]
version = v1
maximum_output_tokens = ${OUTPUT_TOKENS}
`

interface Run {
  report: LoadReport
  /** Milliseconds of processor time of the router. */
  processor: number
  /** Largest resident memory of the router so far, in bytes. */
  peakMemory: number
}

const program = cac('overhead')
program.option('--streams <list>', 'Concurrent streams, separated by commas', { default: '1,100,500' })
program.option('--rounds <count>', 'Pairs of runs for each number of streams', { default: 2 })
program.option('--seconds <number>', 'Length of each run', { default: 10 })
program.help()
const { options } = program.parse()

if (options.help !== true) {
  const fleet = await startFleet({ programs: PROGRAMS })
  try {
    const results = []
    const measure = await prepare(fleet)
    for (const streams of String(options.streams).split(',').map(Number)) {
      results.push(await compare(measure, streams, Number(options.rounds), Number(options.seconds)))
    }
    process.stdout.write(`${JSON.stringify(results, undefined, 2)}\n`)
  } finally {
    await fleet.stop()
  }
}

type Measure = (mode: LoadMode, streams: number, seconds: number, seed: number) => Promise<Run>

async function prepare (fleet: Fleet): Promise<Measure> {
  const engine = await fleet.startEngine({
    name: 'engine-1',
    dataCentre: 'north',
    parameters: ['--loaded', 'model@v1', '--prefill', '1000000', '--decode', String(DECODE_RATE), '--slots', '2000']
  })
  const router = await fleet.startRouter({ name: 'router-1', dataCentre: 'north' })
  const configuration = readFleetConfiguration('overhead.ini', CONFIGURATION)
  await applyConfiguration(fleet.platform, configuration, 0, randomUUID(), Date.now())
  const { key } = await grantKey(fleet.platform, 'load', randomBytes(32), randomUUID(), Date.now())
  await waitReady(router.callerUrl)
  await waitFor('an answer', async () => {
    const call = { url: router.callerUrl, key, model: 'model', prompt: 'warm', maximumOutputTokens: 1 }
    return (await streamCompletion(call)).complete ? true : undefined
  })
  return async (mode, streams, seconds, seed) => {
    const agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
    const url = mode === 'router' ? router.callerUrl : engine.url
    const target = createTarget(agent, {
      url, mode, key, model: 'model', version: 'v1', outputTokens: OUTPUT_TOKENS, timeout: 60_000
    })
    const rate = streams * DECODE_RATE / OUTPUT_TOKENS
    const plan = planLoad({ rate, seconds, promptBytes: 2048, prefixes: 8, sharedPart: 0.75, seed })
    const before = processorTime(router.program.pid)
    const report = await runLoad(plan, target, { streams: 0 })
    const processor = processorTime(router.program.pid) - before
    await agent.destroy()
    return { report, processor, peakMemory: peakMemory(router.program.pid) }
  }
}

async function compare (measure: Measure, streams: number, rounds: number, seconds: number) {
  // The concurrency limit starts low and grows; the first run is not counted.
  await measure('router', streams, seconds, 0)
  const pairs = []
  for (let round = 1; round <= rounds; round += 1) {
    const direct = await measure('engine', streams, seconds, round)
    const through = await measure('router', streams, seconds, round)
    pairs.push({ direct, through })
  }
  return {
    streams,
    rounds: pairs.map(({ direct, through }) => ({
      direct: direct.report,
      through: through.report,
      addedFirstTokenP50: through.report.timeToFirstToken.p50 - direct.report.timeToFirstToken.p50,
      addedFirstTokenP99: through.report.timeToFirstToken.p99 - direct.report.timeToFirstToken.p99,
      addedBetweenTokensP99: through.report.timeBetweenTokens.p99 - direct.report.timeBetweenTokens.p99,
      peakMemory: through.peakMemory,
      processorMilliseconds: through.processor,
      processorMicrosecondsPerToken: 1000 * through.processor / Math.max(1, through.report.tokens)
    }))
  }
}

/** Largest resident memory of a process since its start, in bytes. */
function peakMemory (pid: number): number {
  const line = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(line?.[1] ?? 0) * 1024
}

/** User and system time of a process in milliseconds. */
function processorTime (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) * 1000 / TICKS_PER_SECOND
}
