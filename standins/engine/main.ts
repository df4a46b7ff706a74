/** Program that stands in for a model engine. Prints one JSON line with its port when ready. */
import { cac } from 'cac'
import { announceReady } from '../ready'
import { startEngineServer } from './server'

/** Milliseconds between two looks at whether the running requests have ended, while leaving. */
const DRAIN_POLL_MS = 20

const program = cac('engine')
program.option('--port <port>', 'Port on 127.0.0.1; 0 lets the system choose', { default: 0 })
program.option('--loaded <versions>', 'Loaded versions as model@version, separated by commas', { default: 'model@v1' })
program.option('--prefill <tokens>', 'Prompt tokens per second', { default: 8000 })
program.option('--decode <tokens>', 'Tokens per second of one sequence that decodes alone', { default: 50 })
program.option('--slots <count>', 'Sequences in decode at the same time', { default: 16 })
program.option('--maximum-waiting <count>', 'Requests that may wait', { default: 1000 })
program.option('--blocks <count>', 'Blocks in the prefix cache', { default: 1000 })
program.option('--natural-tokens <count>', 'Tokens after which a completion ends by itself; 0 for never', { default: 0 })
program.option('--platform <url>', 'URL of the platform stand-in, for weights and blocks')
program.option('--load-ms <milliseconds>', 'Duration of a load when no platform is given', { default: 1000 })
program.option('--import-ms <milliseconds>', 'Duration of the import of one block', { default: 1 })
program.option('--journal <file>', 'File to which the journal is appended')
program.option('--seed <number>', 'Seed of the faults that occur with a probability', { default: 1 })
program.help()
const { options } = program.parse()

if (options.help !== true) {
  const engine = await startEngineServer({
    port: Number(options.port),
    loaded: String(options.loaded).split(',').filter((name) => name !== ''),
    prefillTokensPerSecond: Number(options.prefill),
    decodeTokensPerSecond: Number(options.decode),
    slots: Number(options.slots),
    maximumWaiting: Number(options.maximumWaiting),
    blocks: Number(options.blocks),
    naturalTokens: Number(options.naturalTokens) === 0 ? Infinity : Number(options.naturalTokens),
    ...(options.platform === undefined ? {} : { platform: String(options.platform) }),
    loadMilliseconds: Number(options.loadMs),
    importMilliseconds: Number(options.importMs),
    ...(options.journal === undefined ? {} : { journalFile: String(options.journal) }),
    seed: Number(options.seed),
    onCrash: () => { process.kill(process.pid, 'SIGKILL') }
  })
  process.on('SIGTERM', () => {
    if (engine.core.leaving) process.exit(0)
    engine.core.leaving = true
    setInterval(() => { if (engine.core.running.size === 0) process.exit(0) }, DRAIN_POLL_MS)
  })
  announceReady('engine', engine.endpoint.port)
}
