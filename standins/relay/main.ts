/** TCP relay as a program. Prints one JSON line with its port and the port of its control server when ready. */
import { cac } from 'cac'
import { announceReady } from '../ready'
import { startRelay } from './server'

const program = cac('relay')
program.option('--port <port>', 'Port on 127.0.0.1; 0 lets the system choose', { default: 0 })
program.option('--control-port <port>', 'Port of the control server; 0 lets the system choose', { default: 0 })
program.option('--target <endpoint>', 'Where to connect to, as host:port')
program.help()
const { options } = program.parse()

if (options.help !== true) {
  const url = new URL(`tcp://${String(options.target)}`)
  const relay = await startRelay({
    port: Number(options.port),
    controlPort: Number(options.controlPort),
    target: { host: url.hostname, port: Number(url.port) }
  })
  announceReady('relay', relay.endpoint.port, { controlPort: relay.control.endpoint.port })
}
