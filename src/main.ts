/** Entry point of the single executable. */
import { addExplainCommand } from './cli/explainCommand'
import { createProgram } from './cli/program'
import { addServeCommand, runServeCommand } from './cli/serveCommand'
import { createSystemContext } from './cli/systemContext'
import { addTimelineCommand } from './cli/timelineCommand'

const program = createProgram({
  context: createSystemContext(),
  register (commands) {
    addServeCommand(commands, runServeCommand)
    addTimelineCommand(commands, (text) => { process.stdout.write(text) })
    addExplainCommand(commands, (text) => { process.stdout.write(text) })
  }
})

program.run(process.argv.slice(2)).then((code) => { process.exit(code) }, (error: unknown) => { throw error })
