/** Settings of an edge daemon, in INI. All errors of a file are reported at once. */
import { parse } from 'ini'
import { ConfigurationError, type FileFinding } from '../errors'
import { parseEndpoint } from '../http/endpoint'
import type { Endpoint } from '../types'

export interface EdgeSettings {
  instance: { name: string, dataCentre: string }
  listen: {
    caller: Endpoint
    readiness: Endpoint
    /** Where other instances ask. */
    peer: Endpoint
    metrics: Endpoint
  }
  store: {
    endpoint: Endpoint
  }
  limits: {
    /** Milliseconds within which a removed key stops working; Infinity without such a rule. */
    revocation: number
    /** Milliseconds of the window of the retry allowance. */
    retryWindow: number
    retryRatio: number
    retryExtra: number
    /** Milliseconds of the window over which a customer's limit holds. */
    quotaWindow: number
    /** Part by which a customer's limit may be exceeded in a window. */
    quotaOverage: number
    /** Units by which a customer's limit may be exceeded in a window, over all instances. */
    quotaSlack: number
    /** Milliseconds after which no request may begin on weights older than the newest ones named. */
    oldWeights: number
    /** Milliseconds of the lease under which orders are given. */
    lease: number
    /** Milliseconds between the request to stop and the end of the process by force. */
    grace: number
  }
}

type Section = Record<string, string | undefined>

/** Decides for each key how its text is read; undefined for a text that is not valid. */
const readers = {
  text: (value: string): string | undefined => value === '' ? undefined : value,
  endpoint: parseEndpoint,
  number: (value: string): number | undefined => value !== '' && Number(value) >= 0 ? Number(value) : undefined,
  flag: (value: string): boolean | undefined => ({ true: true, false: false } as Record<string, boolean>)[value]
}

/** @throws ConfigurationError with all findings */
export function parseEdgeSettings (content: string, file: string): EdgeSettings {
  const document = parse(content) as Record<string, Section>
  const lines = content.split('\n')
  const findings: FileFinding[] = []

  function read<Value> (section: string, key: string, reader: (value: string) => Value | undefined): Value {
    const raw = document[section]?.[key]
    const value = raw === undefined ? undefined : reader(String(raw).trim())
    if (value === undefined) {
      const line = lines.findIndex((text) => text.split('=')[0]?.trim() === key) + 1
      const message = raw === undefined ? 'is missing' : `'${String(raw)}' is not valid`
      findings.push({ file, line, key: `${section}.${key}`, message })
    }
    return value as Value
  }
  const number = (key: string): number => read('limits', key, readers.number)

  const isStrict = read('limits', 'strict_revocation', readers.flag)
  const settings: EdgeSettings = {
    instance: { name: read('instance', 'name', readers.text), dataCentre: read('instance', 'data_centre', readers.text) },
    listen: {
      caller: read('listen', 'caller', readers.endpoint),
      readiness: read('listen', 'readiness', readers.endpoint),
      peer: read('listen', 'peer', readers.endpoint),
      metrics: read('listen', 'metrics', readers.endpoint)
    },
    store: { endpoint: read('store', 'address', readers.endpoint) },
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
      grace: number('grace_s') * 1000
    }
  }
  if (findings.length > 0) throw new ConfigurationError(findings)
  return settings
}
