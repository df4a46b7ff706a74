/** Generates the tables of `docs/configuration.md` from the schemas. A test compares them with the page. */
import { fleetSchema } from './fleetConfiguration'
import type { SectionSchema } from './sectionSchema'
import { settingsSchema } from './settings'

const HEADINGS = ['Key', 'Default', 'Unit', 'Bound', 'Meaning']

/** Renders the Markdown tables of all settings. */
export function settingsTables (): string {
  return Object.entries(settingsSchema).map(([section, schema]) => sectionTable(`[${section}]`, schema)).join('\n')
}

/** Renders the Markdown tables of all keys of the declarative file. */
export function fleetTables (): string {
  return Object.entries(fleetSchema).map(([kind, schema]) => sectionTable(`[${kind} NAME]`, schema)).join('\n')
}

function sectionTable (title: string, schema: SectionSchema): string {
  const rows = Object.entries(schema).map(([key, { kind, default: defaultText, description }]) => {
    const defaultCell = defaultText === undefined ? 'mandatory' : defaultText === '' ? 'empty' : `\`${defaultText}\``
    return [`\`${key}\``, defaultCell, kind.unit, kind.bound, description]
  })
  const lines = [HEADINGS, HEADINGS.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`)
  return [`### \`${title}\``, '', ...lines, ''].join('\n')
}
