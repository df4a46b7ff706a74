/** Usage lines of the help. By default `cac` prints its own parser patterns, such as `[...words]`. */
import type { CAC } from 'cac'
import { commandTable } from './commandTable'

interface HelpSection {
  title?: string
  body: string
}

/** Replaces the usage lines and the command list with the forms to type on the command line. */
export function describeUsage (program: CAC, programName: string, sections: readonly HelpSection[]): HelpSection[] {
  const forms = program.commands.flatMap(({ name, description, usageText, rawName }) => {
    const known = commandTable.find(definition => definition.name === name)
    const commandForms = known?.forms ?? [[usageText ?? rawName, description] as const]
    return commandForms.map(([usage, meaning]) => ({ name, usage, meaning }))
  })
  const width = Math.max(...forms.map(({ usage }) => usage.length))
  const matched = program.matchedCommand?.name
  const bodies: Readonly<Record<string, string>> = {
    Commands: forms.map(({ usage, meaning }) => `  ${usage.padEnd(width)}  ${meaning}`).join('\n'),
    ...(matched === undefined
      ? {}
      : { Usage: forms.filter(({ name }) => name === matched).map(({ usage }) => `  $ ${programName} ${usage}`).join('\n') })
  }
  return sections.map(section => ({ ...section, body: bodies[section.title ?? ''] ?? section.body }))
}
