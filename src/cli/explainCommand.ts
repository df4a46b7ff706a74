/** `explain`: finds out from log files what became of one request of an edge daemon. */
import type { CAC } from 'cac'
import { UsageError } from '../errors'
import { explainRequest, renderExplanation } from '../observability/explanation'

/** @throws UsageError without an identifier or files. */
export async function runExplainCommand (
  identifier: string | undefined, files: readonly string[], print: (text: string) => void
): Promise<void> {
  if (identifier === undefined || files.length === 0) throw new UsageError('explain needs a request\'s identifier and log files')
  print(renderExplanation(await explainRequest(identifier, files)))
}

/** Adds the command to the program. */
export function addExplainCommand (program: CAC, print: (text: string) => void): void {
  program.command('explain [identifier] [...files]', 'Tell from the logs of all edge daemons what became of one request')
    .usage('explain IDENTIFIER FILE...')
    .action(async (identifier: string | undefined, files: string[]) => {
      await runExplainCommand(identifier === undefined ? undefined : String(identifier), files, print)
    })
}
