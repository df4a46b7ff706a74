/** Worker process of `--all`: runs what the parent sends and answers with the result. */
import { runExperiment } from './model/run'
import type { RunRequest } from './model/run'
import { BAD_VERSION, runRolloutExperiment } from './rollout/run'

process.on('message', async (request: RunRequest) => {
  process.send?.(request.scenario === BAD_VERSION ? await runRolloutExperiment(request) : runExperiment(request))
})
process.on('disconnect', () => process.exit(0))
