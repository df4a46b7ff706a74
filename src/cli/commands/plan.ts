/** `plan FILE`: shows what applying the file would change. */
import { readCurrentConfiguration } from '../../configuration/apply'
import { describeChange, planChanges } from '../../configuration/plan'
import type { CommandFunction } from '../context'
import { readConfigurationArgument } from '../input'

export const runPlan: CommandFunction = async (input) => {
  const desired = await readConfigurationArgument(input)
  const current = await readCurrentConfiguration(input.platform())
  const changes = planChanges(current?.configuration, desired)
  const revision = current?.revision ?? 0
  const lines = changes.length === 0 ? ['no changes'] : changes.map(describeChange)
  return { data: { revision, changes }, text: [`against revision ${revision}:`, ...lines, ''].join('\n') }
}
