/** Worker process of `--all`: runs what the parent sends and answers with the result. */
import { runExperiment } from './model/run'
import type { RunRequest } from './model/run'

process.on('message', (request: RunRequest) => process.send?.(runExperiment(request)))
process.on('disconnect', () => process.exit(0))
