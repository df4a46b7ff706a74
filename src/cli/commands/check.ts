/** `check FILE`: reads a declarative file, or with `--settings` the settings of a daemon, and lists all errors. */
import { readSettings } from '../../configuration/settings'
import type { CommandFunction } from '../context'
import { noFurtherArguments, readConfigurationArgument, readTextFile, requiredArgument } from '../input'

export const runCheck: CommandFunction = async (input) => {
  if (input.options.settings === true) {
    const file = requiredArgument(input, 0, 'FILE')
    noFurtherArguments(input, 1)
    readSettings(file, await readTextFile(input, file))
    return { data: { valid: true }, text: `${file}: valid settings\n` }
  }
  const configuration = await readConfigurationArgument(input)
  const counts = Object.fromEntries(Object.entries(configuration).map(([list, items]) => [list, items.length]))
  const text = Object.entries(counts).map(([list, count]) => `${list}: ${count}`).join(', ')
  return { data: { valid: true, counts }, text: `${input.arguments[0]}: valid (${text})\n` }
}
