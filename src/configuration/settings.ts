/** Settings of a router daemon, read from an INI file. `settingsSchema` is the single source of truth for them. */
import { ConfigurationError, type FileFinding } from '../errors'
import { readIniDocument, type IniSection } from './iniDocument'
import { nearestName } from './nearestName'
import { entry, readSection, withSuggestion, type SectionSchema, type SectionValues } from './sectionSchema'
import { address, addressList, choice, count, duration, matchingText, name, optional, size, url } from './valueKinds'

const SECOND = 1000
const MINUTE = 60 * SECOND
const HOUR = 60 * MINUTE
const DAY = 24 * HOUR
const KIBIBYTE = 1024
const MEBIBYTE = 1024 * KIBIBYTE
const GIBIBYTE = 1024 * MEBIBYTE

export const settingsSchema = {
  instance: {
    name: entry(name(), undefined, 'Name of the instance, unique in the fleet.'),
    data_centre: entry(name(), undefined, 'Data centre of the instance; must occur in the applied configuration.')
  },
  listen: {
    caller: entry(address(), '127.0.0.1:8080', 'Where callers connect (HTTP).'),
    peer: entry(address(), '127.0.0.1:8081', 'Where other instances connect (TCP); peers use this address.'),
    control: entry(address(), '127.0.0.1:8082', 'Where operator commands connect (HTTP). Keep it on an internal network.')
  },
  platform: {
    address: entry(url(), undefined, 'Base address of the platform.'),
    timeout: entry(duration(50, MINUTE), '2s', 'Time limit of one call of the platform.')
  },
  peers: {
    seeds: entry(addressList(), '', 'Peer addresses that are tried at start, besides the platform\'s list.')
  },
  log: {
    level: entry(choice(['debug', 'info', 'warn', 'error']), 'info', 'Lowest level that is written.')
  },
  statsd: {
    address: entry(optional(address()), '', 'Where metrics are sent (UDP); empty sends none.'),
    prefix: entry(matchingText('text', /^[a-z][a-z0-9_.]{0,62}$/, 'lower-case letters, digits, `_`, `.`'), 'waxwingspoke.',
      'Prefix of metric names.')
  },
  limits: {
    header: entry(size(KIBIBYTE, MEBIBYTE), '16KiB', 'Largest header of a request.'),
    body: entry(size(KIBIBYTE, GIBIBYTE), '8MiB', 'Largest body of a request.'),
    idle_time: entry(duration(SECOND, HOUR), '60s', 'Time after which an idle caller connection is closed.'),
    connections: entry(count('connections', 1, 100_000), '4096',
      'Caller connections open at the same time; fewer if the memory, the heap or the file descriptors do not suffice.'),
    memory: entry(optional(size(256 * MEBIBYTE, 1024 * GIBIBYTE)), '',
      'Memory of the machine, which bounds what is held for callers; empty takes that of the machine or of the control group, at most 2 GiB.'),
    descriptors: entry(optional(count('descriptors', 300, 1_000_000)), '',
      'File descriptors that the process may open; empty takes the limit of the process.')
  },
  attempt: {
    connect: entry(duration(10, MINUTE), '1s', 'Time limit for connecting to an upstream.'),
    first_byte: entry(duration(10, HOUR), '10s', 'Time limit until the first byte of an answer.'),
    between_chunks: entry(duration(10, HOUR), '2s', 'Silence of a stream after which another engine is asked as well.'),
    whole: entry(duration(100, DAY), '10m', 'Time limit of a whole attempt.')
  },
  queue: {
    requests: entry(count('requests', 1, 1_000_000), '2000', 'Requests that may wait.'),
    tokens: entry(count('tokens', 1, 1_000_000_000), '20000000', 'Tokens that waiting requests may cost together.'),
    customer_requests: entry(count('requests', 1, 1_000_000), '500', 'Requests of one customer that may wait.'),
    customer_tokens: entry(count('tokens', 1, 1_000_000_000), '5000000', 'Tokens that waiting requests of one customer may cost together.'),
    maximum_wait: entry(duration(10, HOUR), '20s', 'Longest time in the queue.')
  },
  keys: {
    maximum_age: entry(duration(0, 30 * DAY), '0s', 'Age of the knowledge of keys above which requests are refused; 0 never refuses.')
  },
  shutdown: {
    grace: entry(duration(0, HOUR), '1s', 'Time between readiness going off and refusing new requests.'),
    limit: entry(duration(0, 7 * DAY), '0s', 'Time after which running requests are ended on shutdown; 0 sets no limit.')
  }
} as const satisfies Readonly<Record<string, SectionSchema>>

export type Settings = {
  [Section in keyof typeof settingsSchema]: SectionValues<typeof settingsSchema[Section]>
}

/**
 * Parses the settings file.
 *
 * @throws ConfigurationError with all errors of the file.
 */
export function readSettings (file: string, text: string): Settings {
  const document = readIniDocument(file, text)
  const findings: FileFinding[] = [...document.findings]
  const known = Object.keys(settingsSchema)
  const merged = new Map<string, IniSection>()
  for (const section of document.sections) {
    if (section.name === '') {
      for (const { key, line } of section.entries) findings.push({ file, line, key, message: 'key before the first section' })
    } else if (!known.includes(section.name)) {
      findings.push(withSuggestion({ file, line: section.line, key: `[${section.name}]`, message: 'unknown section' },
        nearestName(section.name, known)))
    } else if (merged.has(section.name)) {
      findings.push({
        file, line: section.line, key: `[${section.name}]`, message: `already defined in line ${merged.get(section.name)!.line}`
      })
    } else {
      merged.set(section.name, section)
    }
  }
  const settings = Object.fromEntries(Object.entries(settingsSchema).map(([section, schema]) => {
    return [
      section, readSection(file, merged.get(section) ?? { name: section, line: 0, entries: [] }, schema, findings)
    ]
  })) as Settings
  findings.push(...crossCheck(file, settings, merged))
  if (findings.length > 0) throw new ConfigurationError(findings.sort((left, right) => left.line - right.line))
  return settings
}

/** Checks constraints between settings. Comparisons with values that failed to parse are false and add no findings. */
function crossCheck (file: string, settings: Settings, sections: ReadonlyMap<string, IniSection>): FileFinding[] {
  const lineOf = (section: string, key: string): number => {
    return sections.get(section)?.entries.find(other => other.key === key)?.line ?? sections.get(section)?.line ?? 0
  }
  const findings: FileFinding[] = []
  const { attempt, queue, shutdown } = settings
  if (attempt.firstByte > attempt.whole) {
    findings.push({ file, line: lineOf('attempt', 'first_byte'), key: '[attempt] first_byte', message: 'exceeds [attempt] whole' })
  }
  if (queue.customerRequests > queue.requests) {
    findings.push({ file, line: lineOf('queue', 'customer_requests'), key: '[queue] customer_requests', message: 'exceeds [queue] requests' })
  }
  if (queue.customerTokens > queue.tokens) {
    findings.push({ file, line: lineOf('queue', 'customer_tokens'), key: '[queue] customer_tokens', message: 'exceeds [queue] tokens' })
  }
  if (shutdown.limit > 0 && shutdown.limit < shutdown.grace) {
    findings.push({ file, line: lineOf('shutdown', 'limit'), key: '[shutdown] limit', message: 'is below [shutdown] grace' })
  }
  return findings
}
