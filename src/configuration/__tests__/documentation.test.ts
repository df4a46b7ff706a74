import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { commandTable } from '../../cli/commandTable'
import { EXIT_CODES_TEXT } from '../../cli/program'
import { fleetTables, settingsTables } from '../documentation'
import { readFleetConfiguration } from '../fleetConfiguration'
import { readSettings } from '../settings'

const page = readFileSync('docs/configuration.md', 'utf8')
const examples = 'playground/examples'

describe('documentation of the configuration', () => {
  it.each([['settings', settingsTables], ['fleet', fleetTables]])('lists every key, default, unit and bound of the %s schema', (name, tables) => {
    const documentedTables = new RegExp(`<!-- ${name} begin -->\n\n(.*?)\n<!-- ${name} end -->`, 's').exec(page)?.[1]
    expect(documentedTables).toBe(tables())
  })

  it('lists every command and exit code', () => {
    for (const [usage] of commandTable.flatMap(({ forms }) => forms)) expect(page).toContain(`| \`${usage.replace('|', '\\|')}\` |`)
    for (const exitCode of EXIT_CODES_TEXT.replace('Exit codes: ', '').split(', ')) {
      expect(page).toContain(`| ${exitCode.slice(0, 1)} | ${exitCode.slice(2)} |`)
    }
  })

  it.each(readdirSync(examples).filter(file => file.endsWith('.ini')))('has a valid example %s', (file) => {
    const text = readFileSync(join(examples, file), 'utf8')
    if (file.startsWith('router')) expect(readSettings(file, text).instance.name).not.toBe('')
    else expect(readFleetConfiguration(file, text).customers).toHaveLength(5)
  })
})
