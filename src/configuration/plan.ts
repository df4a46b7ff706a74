/** Compares two configurations. */
import type { FleetConfiguration } from '../types'
import type { FleetSection } from './fleetConfiguration'

/** One changed field of an item. */
export interface FieldChange {
  field: string
  before: unknown
  after: unknown
}

export type ConfigurationChange =
  | { kind: 'added', section: FleetSection, name: string }
  | { kind: 'removed', section: FleetSection, name: string }
  | { kind: 'changed', section: FleetSection, name: string, fields: readonly FieldChange[] }

const SECTION_LISTS = [
  ['data-centre', 'dataCentres'], ['customer', 'customers'], ['model', 'models'], ['route', 'routes']
] as const satisfies ReadonlyArray<readonly [FleetSection, keyof FleetConfiguration]>

/** Lists what `after` changes in `before`, in the order of sections and names. `before` is undefined for a first configuration. */
export function planChanges (
  before: FleetConfiguration | undefined, after: FleetConfiguration
): readonly ConfigurationChange[] {
  return SECTION_LISTS.flatMap(([section, list]) => {
    const old = indexByName(before?.[list] ?? [])
    const wanted = indexByName(after[list])
    const names = [...new Set([...old.keys(), ...wanted.keys()])].sort()
    return names.flatMap((name): ConfigurationChange[] => {
      const left = old.get(name)
      const right = wanted.get(name)
      if (left === undefined) return [{ kind: 'added', section, name }]
      if (right === undefined) return [{ kind: 'removed', section, name }]
      const fields = changedFields(left, right)
      return fields.length === 0 ? [] : [{ kind: 'changed', section, name, fields }]
    })
  })
}

function indexByName (items: ReadonlyArray<{ name: string }>): Map<string, object> {
  return new Map(items.map(item => [item.name, item]))
}

function changedFields (before: object, after: object): readonly FieldChange[] {
  const left = before as Record<string, unknown>
  const right = after as Record<string, unknown>
  return [...new Set([...Object.keys(left), ...Object.keys(right)])]
    .filter(field => JSON.stringify(left[field]) !== JSON.stringify(right[field]))
    .map(field => ({ field, before: left[field], after: right[field] }))
}

const SIGNS = { added: '+', removed: '-', changed: '~' } as const

/** One line of text for people. */
export function describeChange (change: ConfigurationChange): string {
  const head = `${SIGNS[change.kind]} ${change.section} ${change.name}`
  if (change.kind !== 'changed') return head
  const fields = change.fields.map(({ field, before, after }) => `${field}: ${format(before)} -> ${format(after)}`)
  return `${head}: ${fields.join(', ')}`
}

function format (value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value)
}
