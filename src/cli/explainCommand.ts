/** `explain`: reconstructs from log files how a request to an edge daemon was handled. */
import type { CAC } from 'cac'
import { UsageError } from '../errors'
import { explainRequest, renderExplanation } from '../observability/explanation'

/** @throws UsageError if the identifier or the files are missing. */
export async function runExplainCommand (
  identifier: string | undefined, files: readonly string[], print: (text: string) => void
): Promise<void> {
  if (identifier === undefined || files.length === 0) throw new UsageError('explain needs a request identifier and at least one log file')
  print(renderExplanation(await explainRequest(identifier, files)))
}

/** Registers the command with the program. */
export function addExplainCommand (program: CAC, print: (text: string) => void): void {
  program.command('explain [identifier] [...files]', 'Explain from the logs of all edge daemons how one request was handled')
    .usage('explain IDENTIFIER FILE...')
    .action(async (identifier: string | undefined, files: string[]) => {
      await runExplainCommand(identifier === undefined ? undefined : String(identifier), files, print)
    })
}
