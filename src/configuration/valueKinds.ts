/** Value types of INI files: parser, unit and permitted range of each. */
import { z } from 'zod'
import { parseEndpoint } from '../http/endpoint'
import type { Endpoint, WallClockMilliseconds } from '../types'

export interface ValueKind<Output> {
  /** Unit of the parsed value, for the documentation. */
  unit: string
  /** Permitted range or format, for the documentation and error messages. */
  bound: string
  schema: z.ZodType<Output, string>
}

const DURATION_UNITS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const SIZE_UNITS: Readonly<Record<string, number>> = { B: 1, KiB: 1024, MiB: 1024 ** 2, GiB: 1024 ** 3 }

function createKind<Output> (
  unit: string, bound: string, parse: (text: string) => Output | undefined
): ValueKind<Output> {
  const schema = z.string().transform((text, context) => {
    const value = parse(text.trim())
    if (value === undefined) {
      context.addIssue({ code: 'custom', message: `'${text}' is not valid; expected ${bound}` })
      return z.NEVER
    }
    return value
  }) as unknown as z.ZodType<Output, string>
  return { unit, bound, schema }
}

function inRange (value: number, minimum: number, maximum: number): number | undefined {
  return Number.isFinite(value) && value >= minimum && value <= maximum ? value : undefined
}

/** Parses a number with a unit suffix. Without a suffix, the unit with the factor 1 applies. */
function parseWithUnit (text: string, units: Readonly<Record<string, number>>): number {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]*)$/.exec(text)
  if (match === null) return NaN
  const factor = match[2] === '' ? 1 : units[match[2]!]
  return factor === undefined ? NaN : Number(match[1]) * factor
}

export function formatDuration (milliseconds: number): string {
  for (const unit of ['d', 'h', 'm', 's'] as const) {
    const factor = DURATION_UNITS[unit]!
    if (milliseconds >= factor && milliseconds % factor === 0) return `${milliseconds / factor}${unit}`
  }
  return `${milliseconds}ms`
}

function formatSize (bytes: number): string {
  for (const unit of ['GiB', 'MiB', 'KiB'] as const) {
    const factor = SIZE_UNITS[unit]!
    if (bytes >= factor && bytes % factor === 0) return `${bytes / factor}${unit}`
  }
  return `${bytes}B`
}

/** A duration in milliseconds, written with a unit: `250ms`, `1s`, `5m`, `2h`. */
export function duration (minimum: number, maximum: number): ValueKind<number> {
  return createKind('duration', `${formatDuration(minimum)} to ${formatDuration(maximum)}`,
    text => inRange(parseWithUnit(text, DURATION_UNITS), minimum, maximum))
}

/** A size in bytes, written with a unit: `16KiB`, `1MiB`. */
export function size (minimum: number, maximum: number): ValueKind<number> {
  return createKind('bytes', `${formatSize(minimum)} to ${formatSize(maximum)}`,
    text => inRange(parseWithUnit(text, SIZE_UNITS), minimum, maximum))
}

export function count (unit: string, minimum: number, maximum: number): ValueKind<number> {
  return createKind(unit, `whole number from ${minimum} to ${maximum}`, (text) => {
    return /^\d+$/.test(text) ? inRange(Number(text), minimum, maximum) : undefined
  })
}

export function decimal (unit: string, minimum: number, maximum: number): ValueKind<number> {
  return createKind(unit, `number from ${minimum} to ${maximum}`, (text) => {
    return /^\d+(\.\d+)?(e[+-]?\d+)?$/.test(text) ? inRange(Number(text), minimum, maximum) : undefined
  })
}

export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/

/** Excludes `@` and `+`, which separate model, version and adapter in the model names reported by engines. */
export const VERSION_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$/

export function name (): ValueKind<string> {
  return createKind('name', '1 to 63 letters, digits, `.`, `_`, `-`', text => NAME_PATTERN.test(text) ? text : undefined)
}

export function version (): ValueKind<string> {
  return createKind('name', '1 to 127 letters, digits, `.`, `_`, `:`, `/`, `-`',
    text => VERSION_PATTERN.test(text) ? text : undefined)
}

export function address (): ValueKind<Endpoint> {
  return createKind('address', '`HOST:PORT` or `[IPv6]:PORT`', parseEndpoint)
}

export function addressList (): ValueKind<readonly Endpoint[]> {
  return createKind('list of addresses', '`HOST:PORT`, separated by commas', (text) => {
    const endpoints = splitList(text).map(parseEndpoint)
    return endpoints.includes(undefined) ? undefined : endpoints as Endpoint[]
  })
}

/** An HTTP base address such as `http://10.0.0.1:7000`. */
export function url (): ValueKind<string> {
  return createKind('URL', '`http://HOST:PORT`', (text) => {
    return /^https?:\/\/[^/\s]+$/.test(text.replace(/\/$/, '')) && URL.canParse(text) ? text.replace(/\/$/, '') : undefined
  })
}

export function choice<const Values extends readonly string[]> (values: Values): ValueKind<Values[number]> {
  return createKind('word', values.map(value => `\`${value}\``).join(', '),
    text => values.includes(text) ? text as Values[number] : undefined)
}

export function flag (): ValueKind<boolean> {
  return createKind('flag', '`true` or `false`', text => ({ true: true, false: false })[text])
}

export function matchingList (unit: string, pattern: RegExp, bound: string): ValueKind<readonly string[]> {
  return createKind(unit, bound, (text) => {
    const items = splitList(text)
    const valid = items.every(item => pattern.test(item)) && new Set(items).size === items.length
    return valid ? items : undefined
  })
}

export function matchingText (unit: string, pattern: RegExp, bound: string): ValueKind<string> {
  return createKind(unit, bound, text => pattern.test(text) ? text : undefined)
}

/** An ISO 8601 timestamp. A time zone is required; without one the value would depend on the zone of the machine. */
export function timestamp (): ValueKind<WallClockMilliseconds> {
  return createKind('time', 'ISO 8601 with zone, e.g. `2026-12-04T05:00:00Z`', (text) => {
    if (!/^\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d(\.\d{1,3})?)?(Z|[+-]\d\d:\d\d)$/.test(text)) return undefined
    return inRange(Date.parse(text), 0, Number.MAX_SAFE_INTEGER)
  })
}

/** Makes a value optional: empty text is parsed as undefined. */
export function optional<Output> (inner: ValueKind<Output>): ValueKind<Output | undefined> {
  return {
    unit: inner.unit,
    bound: inner.bound,
    schema: z.string().transform((text, context) => {
      if (text.trim() === '') return undefined
      const result = inner.schema.safeParse(text)
      if (result.success) return result.data
      context.addIssue({ code: 'custom', message: result.error.issues[0]!.message })
      return z.NEVER
    }) as unknown as z.ZodType<Output | undefined, string>
  }
}

export function splitList (text: string): string[] {
  return text.split(',').map(part => part.trim()).filter(part => part !== '')
}
