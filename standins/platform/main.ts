/** Program that stands in for the platform. Prints one JSON line with its port when ready. */
import { cac } from 'cac'
import { announceReady } from '../ready'
import { startPlatformServer } from './server'

const program = cac('platform')
program.option('--port <port>', 'Port on 127.0.0.1; 0 lets the system choose', { default: 0 })
program.option('--load-ms <milliseconds>', 'Duration of one load of weights', { default: 1000 })
program.option('--parallel-loads <count>', 'Loads at full speed at the same time', { default: 2 })
program.help()
const { options } = program.parse()

if (options.help !== true) {
  const server = await startPlatformServer({
    port: Number(options.port), loadMilliseconds: Number(options.loadMs), parallelLoads: Number(options.parallelLoads)
  })
  announceReady('platform', server.endpoint.port)
}
