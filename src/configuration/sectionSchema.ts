/** Schemas of INI sections, and parsing of a section by its schema. */
import type { FileFinding } from '../errors'
import type { IniSection } from './iniDocument'
import { nearestName } from './nearestName'
import type { ValueKind } from './valueKinds'

export interface EntrySchema<Output> {
  kind: ValueKind<Output>
  /** Default value in INI syntax. The key is mandatory if undefined. */
  default: string | undefined
  description: string
}

// The entries have different output types. `any` is needed because `unknown` does not accept them in a transform position.
export type SectionSchema = Readonly<Record<string, EntrySchema<any>>>

type CamelCase<Text extends string> = Text extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : Text

/** Parsed values of a section, with the keys in camel case. */
export type SectionValues<Schema extends SectionSchema> = {
  [Key in keyof Schema & string as CamelCase<Key>]: Schema[Key] extends EntrySchema<infer Output> ? Output : never
}

export function entry<Output> (
  kind: ValueKind<Output>, defaultText: string | undefined, description: string
): EntrySchema<Output> {
  return { kind, default: defaultText, description }
}

export function toCamelCase (key: string): string {
  return key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase())
}

/** Parses the entries of a section. Errors are added to `findings`, in which case the returned values are incomplete. */
export function readSection<Schema extends SectionSchema> (
  file: string, section: IniSection, schema: Schema, findings: FileFinding[]
): SectionValues<Schema> {
  const values: Record<string, unknown> = {}
  for (const { key, line } of section.entries) {
    if (Object.hasOwn(schema, key)) continue
    findings.push(withSuggestion({ file, line, key: qualifiedKey(section.name, key), message: 'unknown key' },
      nearestName(key, Object.keys(schema))))
  }
  for (const [key, definition] of Object.entries(schema)) {
    const matchedEntry = section.entries.find(other => other.key === key)
    const text = matchedEntry?.value ?? definition.default
    if (text === undefined) {
      findings.push({ file, line: section.line, key: qualifiedKey(section.name, key), message: 'missing' })
      continue
    }
    const result = definition.kind.schema.safeParse(text)
    if (result.success) {
      values[toCamelCase(key)] = result.data
    } else {
      findings.push({
        file,
        line: matchedEntry?.line ?? section.line,
        key: qualifiedKey(section.name, key),
        message: result.error.issues[0]!.message
      })
    }
  }
  return values as SectionValues<Schema>
}

export function withSuggestion (finding: FileFinding, suggestion: string | undefined): FileFinding {
  return suggestion === undefined ? finding : { ...finding, suggestion }
}

export function qualifiedKey (section: string, key: string): string {
  return section === '' ? key : `[${section}] ${key}`
}
