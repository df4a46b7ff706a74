/** Parses the declarative configuration file (INI) and encodes and decodes the stored configuration object (JSON). */
import { z } from 'zod'
import { ConfigurationError, type FileFinding } from '../errors'
import type { FleetConfiguration, RouteConfiguration } from '../types'
import { readIniDocument, type IniSection } from './iniDocument'
import { nearestName } from './nearestName'
import { entry, readSection, withSuggestion, type SectionSchema } from './sectionSchema'
import { count, decimal, flag, matchingText, timestamp, NAME_PATTERN, name, optional, VERSION_PATTERN, version, matchingList } from './valueKinds'

const MAXIMUM_TOKENS = 1e12
const METHODS = /^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS)$/
const PATH_PATTERN = /^\/[A-Za-z0-9._~/-]{0,254}$/

/** Keys of the declarative file by kind of section. Section headers have the form `[KIND NAME]`, e.g. `[customer bakery]`. */
export const fleetSchema = {
  'data-centre': {
    weight: entry(decimal('part', 0, 1_000_000), '1', 'Part of the quota relative to the other data centres.')
  },
  customer: {
    rate: entry(decimal('tokens/s', 0, MAXIMUM_TOKENS), undefined, 'Tokens per second over the whole fleet.'),
    burst: entry(decimal('tokens', 1, MAXIMUM_TOKENS), undefined, 'Tokens that may be admitted at once over the whole fleet.'),
    weight: entry(decimal('part', 0.001, 1_000_000), '1', 'Share in the fair queue relative to other customers.')
  },
  model: {
    version: entry(version(), undefined, 'Version that all traffic must reach.'),
    finish_by: entry(optional(timestamp()), '', 'Time by which the rollout must finish; empty sets no deadline.'),
    maximum_output_tokens: entry(count('tokens', 1, 10_000_000), '4096', 'Largest output, and the reserve when the caller names none.'),
    parallel_loads: entry(count('engines', 1, 1000), '2', 'Engines that may load weights at the same time.')
  },
  route: {
    path: entry(matchingText('path', PATH_PATTERN, 'starts with `/`'), undefined, 'Path prefix.'),
    service: entry(name(), undefined, 'Service name of the upstreams in the platform\'s list.'),
    methods: entry(matchingList('list of methods', METHODS, 'HTTP methods in capitals, separated by commas'), 'GET, POST', 'Methods that are relayed.'),
    idempotent_methods: entry(matchingList('list of methods', METHODS, 'a part of `methods`'), '', 'Methods that may be repeated after a failure.'),
    open: entry(flag(), 'false', 'A route open to all needs no key.'),
    cost: entry(count('tokens', 0, 1_000_000_000), '1', 'Tokens charged for one call.')
  }
} as const satisfies Readonly<Record<string, SectionSchema>>

export type FleetSection = keyof typeof fleetSchema

const MODEL_PATTERN = VERSION_PATTERN

/**
 * Parses the declarative file.
 *
 * @throws ConfigurationError with all errors of the file.
 */
export function readFleetConfiguration (file: string, text: string): FleetConfiguration {
  const document = readIniDocument(file, text)
  const findings: FileFinding[] = [...document.findings]
  const linesBySection = new Map<string, number>()
  const linesByItem = new Map<object, number>()
  const configuration = { dataCentres: [], customers: [], models: [], routes: [] } as {
    -readonly [Key in keyof FleetConfiguration]: Array<FleetConfiguration[Key][number]>
  }
  for (const section of document.sections) {
    const header = readSectionHeader(file, section, linesBySection, findings)
    if (header === undefined) continue
    const before = findings.length
    const values = {
      name: header.name, ...readSection<SectionSchema>(file, section, fleetSchema[header.kind], findings)
    }
    // Skips sections with invalid values, as cross-checking them would only add findings about the same lines.
    if (findings.length > before) continue
    linesByItem.set(values, section.line)
    const lists = {
      'data-centre': configuration.dataCentres, customer: configuration.customers, model: configuration.models, route: configuration.routes
    }
    ;(lists[header.kind] as object[]).push(values)
  }
  const complete = findings.length === 0
  findings.push(...crossCheck(configuration, (item, message, key) => {
    return { file, line: item === undefined ? 0 : linesByItem.get(item) ?? 0, key, message }
  }, complete))
  if (findings.length > 0) throw new ConfigurationError(findings.sort((left, right) => left.line - right.line))
  return configuration
}

function readSectionHeader (
  file: string, section: IniSection, linesBySection: Map<string, number>, findings: FileFinding[]
): { kind: FleetSection, name: string } | undefined {
  const { line } = section
  if (section.name === '') {
    for (const other of section.entries) findings.push({ file, line: other.line, key: other.key, message: 'key before the first section' })
    return undefined
  }
  const [kind = '', ...rest] = section.name.split(' ')
  const key = `[${section.name}]`
  if (!Object.hasOwn(fleetSchema, kind)) {
    findings.push(withSuggestion({ file, line, key, message: 'unknown section' }, nearestName(kind, Object.keys(fleetSchema))))
    return undefined
  }
  const pattern = kind === 'model' ? MODEL_PATTERN : NAME_PATTERN
  if (rest.length !== 1 || !pattern.test(rest[0]!)) {
    findings.push({ file, line, key, message: `expected [${kind} NAME] with a valid name` })
    return undefined
  }
  const previousLine = linesBySection.get(section.name)
  if (previousLine !== undefined) {
    findings.push({ file, line, key, message: `already defined in line ${previousLine}` })
    return undefined
  }
  linesBySection.set(section.name, line)
  return { kind: kind as FleetSection, name: rest[0]! }
}

type CreateFinding = (item: object | undefined, message: string, key: string) => FileFinding

function crossCheck (
  configuration: FleetConfiguration, createFinding: CreateFinding, complete: boolean
): FileFinding[] {
  const findings: FileFinding[] = []
  if (complete && configuration.dataCentres.length === 0) {
    findings.push(createFinding(undefined, 'at least one [data-centre NAME] section is required', 'data-centre'))
  }
  if (
    complete && configuration.dataCentres.length > 0 && configuration.dataCentres.every(({ weight }) => weight === 0)
  ) {
    findings.push(createFinding(configuration.dataCentres[0], 'at least one data centre needs a weight above 0', 'weight'))
  }
  const paths = new Map<string, RouteConfiguration>()
  for (const route of configuration.routes) {
    const key = `[route ${route.name}]`
    const unlistedMethods = route.idempotentMethods.filter(method => !route.methods.includes(method))
    if (unlistedMethods.length > 0) findings.push(createFinding(route, `not in methods: ${unlistedMethods.join(', ')}`, `${key} idempotent_methods`))
    if (route.methods.length === 0) findings.push(createFinding(route, 'no methods', `${key} methods`))
    if (/^\/(v1|healthz|readyz)(\/|$)/.test(route.path)) {
      findings.push(createFinding(route, 'is reserved for the router\'s own endpoints', `${key} path`))
    }
    const other = paths.get(route.path)
    if (other !== undefined) findings.push(createFinding(route, `same path as route '${other.name}'`, `${key} path`))
    paths.set(route.path, route)
  }
  return findings
}

const nonNegative = z.number().finite().min(0)
const storedSchema = z.object({
  dataCentres: z.array(z.object({ name: z.string(), weight: nonNegative })),
  customers: z.array(z.object({ name: z.string(), rate: nonNegative, burst: nonNegative, weight: nonNegative })),
  models: z.array(z.object({
    name: z.string(),
    version: z.string(),
    finishBy: nonNegative.optional().transform(value => value as number | undefined),
    maximumOutputTokens: nonNegative,
    parallelLoads: nonNegative
  })),
  routes: z.array(z.object({
    name: z.string(),
    path: z.string(),
    service: z.string(),
    methods: z.array(z.string()),
    idempotentMethods: z.array(z.string()),
    open: z.boolean(),
    cost: nonNegative
  }))
})

/** Encodes the configuration as the content of the stored object (JSON, UTF-8). */
export function serializeFleetConfiguration (configuration: FleetConfiguration): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(configuration))
}

/**
 * Decodes the content of a stored object.
 *
 * @throws ConfigurationError if the content does not match the schema.
 */
export function parseStoredConfiguration (objectName: string, content: Uint8Array): FleetConfiguration {
  let json: unknown
  try {
    json = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(content))
  } catch (cause) {
    throw new ConfigurationError([{ file: objectName, line: 0, key: 'object', message: 'is not JSON' }], { cause })
  }
  const result = storedSchema.safeParse(json)
  if (result.success) {
    const models = result.data.models.map(model => ({ ...model, finishBy: model.finishBy }))
    return { ...result.data, models }
  }
  throw new ConfigurationError(result.error.issues.map(issue => {
    return { file: objectName, line: 0, key: issue.path.join('.'), message: issue.message }
  }))
}
