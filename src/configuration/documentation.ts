/** Builds the tables of `docs/configuration.md` from the schemas; a test compares them with the page. */
import { fleetSchema } from './fleetConfiguration'
import type { SectionSchema } from './sectionSchema'
import { settingsSchema } from './settings'

const HEADINGS = ['Key', 'Default', 'Unit', 'Bound', 'Meaning']

/** Tables of all settings, as Markdown. */
export function settingsTables (): string {
  return Object.entries(settingsSchema).map(([section, schema]) => sectionTable(`[${section}]`, schema)).join('\n')
}

/** Tables of all keys of the declarative file, as Markdown. */
export function fleetTables (): string {
  return Object.entries(fleetSchema).map(([kind, schema]) => sectionTable(`[${kind} NAME]`, schema)).join('\n')
}

function sectionTable (title: string, schema: SectionSchema): string {
  const rows = Object.entries(schema).map(([key, { kind, default: text, description }]) => {
    const shown = text === undefined ? 'mandatory' : text === '' ? 'empty' : `\`${text}\``
    return [`\`${key}\``, shown, kind.unit, kind.bound, description]
  })
  const lines = [HEADINGS, HEADINGS.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`)
  return [`### \`${title}\``, '', ...lines, ''].join('\n')
}
