/** `check FILE`: validates a declarative file, or daemon settings with `--settings` or `--edge`, and lists all errors. */
import { readSettings } from '../../configuration/settings'
import { parseEdgeSettings } from '../../edge/settings'
import type { CommandFunction } from '../context'
import { noFurtherArguments, readConfigurationArgument, readTextFile, requiredArgument } from '../input'

/** Settings parsers by option name. Each throws an error with all findings. */
const settingsReaders: Readonly<Record<string, (file: string, content: string) => unknown>> = {
  settings: readSettings,
  edge: (file, content) => parseEdgeSettings(content, file)
}

export const runCheck: CommandFunction = async (input) => {
  const option = Object.keys(settingsReaders).find((name) => input.options[name] === true)
  if (option !== undefined) {
    const file = requiredArgument(input, 0, 'FILE')
    noFurtherArguments(input, 1)
    settingsReaders[option]!(file, await readTextFile(input, file))
    return { data: { valid: true }, text: `${file}: valid settings\n` }
  }
  const configuration = await readConfigurationArgument(input)
  const counts = Object.fromEntries(Object.entries(configuration).map(([list, items]) => [list, items.length]))
  const text = Object.entries(counts).map(([list, count]) => `${list}: ${count}`).join(', ')
  return { data: { valid: true, counts }, text: `${input.arguments[0]}: valid (${text})\n` }
}
