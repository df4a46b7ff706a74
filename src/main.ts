/** Entry point of the single executable. */
import { cac } from 'cac'
import { runServeCommand } from './cli/serveCommand'
import { addTimelineCommand } from './cli/timelineCommand'
import { RouterError } from './errors'

async function main (): Promise<void> {
  const program = cac('waxwingspoke')
  program.command('serve', 'Run the router daemon')
    .option('--config <file>', 'Settings file')
    .action(async (options: { config?: string }) => { await runServeCommand(options.config ?? 'waxwingspoke.ini') })
  addTimelineCommand(program, (text) => { process.stdout.write(text) })
  program.help()
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
}

main().then(() => { process.exit() }, (error: unknown) => {
  process.stderr.write(`${error instanceof RouterError ? error.message : String(error instanceof Error ? error.stack : error)}\n`)
  process.exit(1)
})
