/** Program that stands in for a plain service. Prints one JSON line with its port when ready. */
import { cac } from 'cac'
import { announceReady } from '../ready'
import { startServiceServer } from './server'

/** Milliseconds between two looks at whether the running calls have ended, while leaving. */
const DRAIN_POLL_MS = 20

const program = cac('service')
program.option('--port <port>', 'Port on 127.0.0.1; 0 lets the system choose', { default: 0 })
program.option('--call-ms <milliseconds>', 'Duration of one call', { default: 2 })
program.option('--answer-bytes <bytes>', 'Bytes that are added to each answer', { default: 0 })
program.option('--journal <file>', 'File to which the journal is appended')
program.help()
const { options } = program.parse()

if (options.help !== true) {
  const service = await startServiceServer({
    port: Number(options.port),
    callMilliseconds: Number(options.callMs),
    answerBytes: Number(options.answerBytes),
    ...(options.journal === undefined ? {} : { journalFile: String(options.journal) }),
    onCrash: () => { process.kill(process.pid, 'SIGKILL') }
  })
  process.on('SIGTERM', () => {
    if (service.state.leaving) process.exit(0)
    service.state.leaving = true
    setInterval(() => { if (service.state.running === 0) process.exit(0) }, DRAIN_POLL_MS)
  })
  announceReady('service', service.endpoint.port)
}
