/** Prints command errors to standard error, each with a suggested next step. */
import { ConfigurationError, NotFoundError, RouterError, UsageError } from '../errors'
import type { CommandContext } from './context'
import { ExitCode, exitCodeOf } from './exitCodes'

const NEXT_STEPS: Readonly<Record<number, string>> = {
  [ExitCode.failed]: 'run the same command again; if the error persists, check `status`',
  [ExitCode.usage]: 'see `waxwingspoke COMMAND --help`',
  [ExitCode.conflict]: 'another change was applied first: run `plan` again before `apply`, or repeat the `keys` command',
  [ExitCode.invalidFile]: 'correct the file and run `check`',
  [ExitCode.platformUnavailable]: 'check the address given with --platform and run the command again',
  // Repeating a grant without withdrawing the hash named in its error message could leave a valid key that nobody holds.
  [ExitCode.outcomeUnknown]: 'run the command again; after `keys grant`, withdraw the hash first'
}

function nextStep (error: RouterError): string {
  if (error instanceof NotFoundError) return 'see the known names and hashes with `customers` and `keys list`'
  return NEXT_STEPS[exitCodeOf(error)] ?? NEXT_STEPS[ExitCode.failed]!
}

/** Prints the error and returns the exit code. */
export function reportError (context: CommandContext, error: unknown, json: boolean): number {
  // cac reports missing values of options with its own class.
  const known = error instanceof Error && error.name === 'CACError' ? new UsageError(error.message, { cause: error }) : error
  if (!(known instanceof RouterError)) {
    const detail = known instanceof Error ? known.stack ?? known.message : String(known)
    context.printError(`internal error: ${detail}\nnext: report this error with the lines above\n`)
    return ExitCode.failed
  }
  const next = nextStep(known)
  const findings = known instanceof ConfigurationError ? { findings: known.findings } : {}
  context.printError(json
    ? JSON.stringify({ error: { code: known.code, message: known.message, next, ...findings } }, undefined, 2) + '\n'
    : known instanceof ConfigurationError ? `${known.message}\nnext: ${next}\n` : `error: ${known.message}; ${next}\n`)
  return exitCodeOf(known)
}
