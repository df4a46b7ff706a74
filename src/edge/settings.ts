/** Parses the settings of an edge daemon in INI format. All errors of a file are reported at once. */
import { parse } from 'ini'
import { ConfigurationError, type FileFinding } from '../errors'
import { parseEndpoint } from '../http/endpoint'
import type { Endpoint } from '../types'

/** How requests are placed at upstreams of other data centres. */
export const CrossZone = {
  /** The instance decides when leaving the data centre pays. */
  auto: 'auto',
  /** Prompts are placed with no regard to the data centre; plain calls prefer the own one slightly. */
  free: 'free'
} as const
export type CrossZone = typeof CrossZone[keyof typeof CrossZone]

export interface EdgeSettings {
  instance: { name: string, dataCentre: string }
  listen: {
    caller: Endpoint
    readiness: Endpoint
    /** Endpoint for connections of other instances. */
    peer: Endpoint
    metrics: Endpoint
  }
  store: {
    endpoint: Endpoint
  }
  placement: { crossZone: CrossZone }
  limits: {
    /** Time in milliseconds within which a removed key must stop working; Infinity without strict revocation. */
    revocation: number
    /** Length in milliseconds of the sliding window of the retry allowance. */
    retryWindow: number
    /** Retries permitted per request. */
    retryRatio: number
    /** Additional retries permitted per window, over all instances. */
    retryExtra: number
    /** Length in milliseconds of the window over which the limit of a customer applies. */
    quotaWindow: number
    /** Fraction by which the limit of a customer may be exceeded in a window. */
    quotaOverage: number
    /** Units by which the limit of a customer may be exceeded in a window, over all instances. */
    quotaSlack: number
    /** Time in milliseconds after which no request may start on weights older than the newest announced version. */
    oldWeights: number
    /** Duration in milliseconds of the lease under which commands are sent to engines. */
    lease: number
    /** Time in milliseconds between the stop signal and the forced termination of the process. */
    grace: number
    /**
     * Largest share of a service's requests that a new version of its software may get before it is judged; undefined
     * where there are no rollouts of services.
     */
    exposure: number | undefined
    /** Memory of the machine in MB. @default DEFAULT_MEMORY_MB */
    memoryMb?: number
    /** File descriptors of the machine. @default DEFAULT_FILE_DESCRIPTORS */
    fileDescriptors?: number
  }
  /** Region of each data centre, by its name; empty or absent if the settings name none. */
  regions?: ReadonlyMap<string, string>
  admission: {
    /** Whether requests are admitted in the order of urgency, customer, size and age under overload. */
    order: boolean
  }
}

type Section = Record<string, string | undefined>

/** Parsers of setting values; each returns undefined for an invalid text. */
const parsers = {
  text: (value: string): string | undefined => value === '' ? undefined : value,
  endpoint: parseEndpoint,
  number: (value: string): number | undefined => value !== '' && Number(value) >= 0 ? Number(value) : undefined,
  switch: (value: string): boolean | undefined => ({ on: true, off: false } as Record<string, boolean>)[value],
  crossZone: (value: string): CrossZone | undefined => Object.values(CrossZone).find((known) => known === value),
  positive (value: string): number | undefined {
    return Number(value) > 0 && Number.isFinite(Number(value)) ? Number(value) : undefined
  },
  flag: (value: string): boolean | undefined => ({ true: true, false: false } as Record<string, boolean>)[value]
}

/** Values of settings that the file may leave out. */
const DEFAULTS: Readonly<Record<string, string | undefined>> = { 'admission.order': 'off' }

/**
 * Parses the content of a settings file.
 * @param defaults values of settings that the file does not state, by section and key (`section.key`)
 * @throws ConfigurationError with all findings
 */
export function parseEdgeSettings (
  content: string, file: string, defaults: Readonly<Record<string, string>> = {}
): EdgeSettings {
  const document = parse(content) as Record<string, Section>
  const lines = content.split('\n')
  const findings: FileFinding[] = []

  function readValue<Value> (section: string, key: string, parseValue: (value: string) => Value | undefined): Value {
    const raw = document[section]?.[key] ?? defaults[`${section}.${key}`] ?? DEFAULTS[`${section}.${key}`]
    const value = raw === undefined ? undefined : parseValue(String(raw).trim())
    if (value === undefined) {
      const line = lines.findIndex((text) => text.split('=')[0]?.trim() === key) + 1
      const message = raw === undefined ? 'is missing' : `'${String(raw)}' is not valid`
      findings.push({ file, line, key: `${section}.${key}`, message })
    }
    return value as Value
  }
  const number = (key: string): number => readValue('limits', key, parsers.number)
  /** Reads a positive limit that may be missing or empty, which leaves its default in force. */
  function optionalLimit<Key extends string> (name: Key, key: string): Partial<Record<Key, number>> {
    if ((document.limits?.[key] ?? '').trim() === '') return {}
    return { [name]: readValue('limits', key, parsers.positive) } as Partial<Record<Key, number>>
  }

  const isStrict = readValue('limits', 'strict_revocation', parsers.flag)
  const settings: EdgeSettings = {
    instance: { name: readValue('instance', 'name', parsers.text), dataCentre: readValue('instance', 'data_centre', parsers.text) },
    listen: {
      caller: readValue('listen', 'caller', parsers.endpoint),
      readiness: readValue('listen', 'readiness', parsers.endpoint),
      peer: readValue('listen', 'peer', parsers.endpoint),
      metrics: readValue('listen', 'metrics', parsers.endpoint)
    },
    store: { endpoint: readValue('store', 'address', parsers.endpoint) },
    placement: {
      crossZone: document.placement?.cross_zone === undefined
        ? CrossZone.free
        : readValue('placement', 'cross_zone', parsers.crossZone)
    },
    limits: {
      revocation: isStrict ? number('revocation_ms') : Infinity,
      retryWindow: number('retry_window_s') * 1000,
      retryRatio: number('retry_ratio'),
      retryExtra: number('retry_extra'),
      quotaWindow: number('quota_window_s') * 1000,
      quotaOverage: number('quota_overage'),
      quotaSlack: number('quota_slack'),
      oldWeights: number('old_weights_ms'),
      lease: number('lease_ms'),
      grace: number('grace_s') * 1000,
      exposure: (document.limits?.exposure_share ?? '').trim() === '' ? undefined : number('exposure_share'),
      ...optionalLimit('memoryMb', 'memory_mb'),
      ...optionalLimit('fileDescriptors', 'file_descriptors')
    },
    admission: { order: readValue('admission', 'order', parsers.switch) }
  }
  // A data centre without a region is an unknown one, which only requests with allowed regions do not reach.
  const regions = Object.entries(document.zones ?? {}).filter((zone): zone is [string, string] => (
    zone[0] !== '' && typeof zone[1] === 'string' && zone[1] !== ''
  ))
  if (regions.length > 0) settings.regions = new Map(regions)
  if (findings.length > 0) throw new ConfigurationError(findings)
  return settings
}
