/** Computes and formats the differences between two configurations. */
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

/**
 * Lists the changes from `before` to `after`, ordered by section and name.
 * `before` is undefined if no configuration has been applied yet.
 */
export function planChanges (
  before: FleetConfiguration | undefined, after: FleetConfiguration
): readonly ConfigurationChange[] {
  return SECTION_LISTS.flatMap(([section, list]) => {
    const previousItems = indexByName(before?.[list] ?? [])
    const desiredItems = indexByName(after[list])
    const names = [...new Set([...previousItems.keys(), ...desiredItems.keys()])].sort()
    return names.flatMap((name): ConfigurationChange[] => {
      const previous = previousItems.get(name)
      const desired = desiredItems.get(name)
      if (previous === undefined) return [{ kind: 'added', section, name }]
      if (desired === undefined) return [{ kind: 'removed', section, name }]
      const fields = changedFields(previous, desired)
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

/** Formats a change as one line of human-readable text. */
export function describeChange (change: ConfigurationChange): string {
  const head = `${SIGNS[change.kind]} ${change.section} ${change.name}`
  if (change.kind !== 'changed') return head
  const fields = change.fields.map(({ field, before, after }) => `${field}: ${format(before)} -> ${format(after)}`)
  return `${head}: ${fields.join(', ')}`
}

function format (value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value)
}
