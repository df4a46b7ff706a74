/** `serve`: runs the router daemon until it receives SIGTERM or SIGINT. */
import { readFileSync } from 'node:fs'
import type { CAC } from 'cac'
import { startDaemon } from '../compose'
import { readSettings } from '../configuration/settings'
import { UsageError } from '../errors'

/** Starts the daemon. Resolves once it has stopped after SIGTERM or SIGINT. */
export async function runServeCommand (settingsFile: string): Promise<void> {
  let text: string
  try {
    text = readFileSync(settingsFile, 'utf8')
  } catch (cause) {
    throw new UsageError(`cannot read the settings file ${settingsFile}`, { cause })
  }
  const daemon = await startDaemon(readSettings(settingsFile, text))
  await new Promise<void>((resolve, reject) => {
    const stop = (): void => { daemon.stop().then(resolve, reject) }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  })
}

/** Registers the command with the program. */
export function addServeCommand (program: CAC, run: (settingsFile: string) => Promise<void>): void {
  program.command('serve [...words]', 'Run the router daemon')
    .usage('serve --config FILE')
    .option('--config <file>', 'Settings file (default: waxwingspoke.ini)')
    .example('  waxwingspoke serve --config router.ini')
    .action(async (positionals: string[], options: { config?: string }) => {
      // Without this check, `serve router.ini` would start with the default settings file.
      if (positionals[0] !== undefined) throw new UsageError(`unexpected argument '${positionals[0]}'; give the file with --config`)
      await run(options.config ?? 'waxwingspoke.ini')
    })
}
