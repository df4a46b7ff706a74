/** Open-loop load generator. Prints its report as one JSON object on standard output. */
import { cac } from 'cac'
import { Agent } from 'undici'
import { planLoad } from './plan'
import { runLoad } from './run'
import { createTarget } from './targets'
import type { LoadMode } from './targets'

const program = cac('load')
program.option('--url <url>', 'Router or engine, for example http://127.0.0.1:8080')
program.option('--key <key>', 'Caller key for the router', { default: '' })
program.option('--mode <mode>', 'router or engine', { default: 'router' })
program.option('--model <name>', 'Model to ask for', { default: 'model' })
program.option('--model-version <version>', 'Version to ask for; engine mode only', { default: 'v1' })
program.option('--rate <number>', 'Requests per second', { default: 10 })
program.option('--seconds <number>', 'Length of the run', { default: 10 })
program.option('--streams <count>', 'Most requests open at the same time; 0 for no limit', { default: 0 })
program.option('--prompt-bytes <count>', 'Bytes of each prompt', { default: 8192 })
program.option('--prefixes <count>', 'Number of shared prefixes', { default: 8 })
program.option('--shared-part <number>', 'Part of each prompt that is shared, 0 to 1', { default: 0.75 })
program.option('--output-tokens <count>', 'Tokens of each answer', { default: 32 })
program.option('--timeout-ms <milliseconds>', 'Time after which a request is given up', { default: 60_000 })
program.option('--seed <number>', 'Seed of arrivals and prompts', { default: 1 })
program.help()
const { options } = program.parse()

if (options.help !== true) {
  if (options.url === undefined || !['router', 'engine'].includes(String(options.mode))) {
    process.stderr.write('load: --url and a --mode of router or engine are required\n')
    process.exit(2)
  }
  const agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  const target = createTarget(agent, {
    url: String(options.url),
    mode: options.mode as LoadMode,
    key: String(options.key),
    model: String(options.model),
    version: String(options.modelVersion),
    outputTokens: Number(options.outputTokens),
    timeout: Number(options.timeoutMs)
  })
  const plan = planLoad({
    rate: Number(options.rate),
    seconds: Number(options.seconds),
    promptBytes: Number(options.promptBytes),
    prefixes: Number(options.prefixes),
    sharedPart: Number(options.sharedPart),
    seed: Number(options.seed)
  })
  const report = await runLoad(plan, target, { streams: Number(options.streams) })
  await agent.destroy()
  process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`)
}
