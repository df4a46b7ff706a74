import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { ConfigurationError } from '../../errors'
import { parseEdgeSettings } from '../settings'

const VALUES: Readonly<Record<string, string>> = {
  nodeName: 'router-1',
  zone: 'north',
  'listenAddresses.front': '10.0.0.1:8606',
  'listenAddresses.ready': '10.0.0.1:8605',
  'platform.address': '10.0.0.9:8601',
  'bounds.strictRevocation': 'true',
  'bounds.revocationMs': '5000',
  'bounds.budgetWindowS': '10',
  'bounds.budgetRatio': '0.2',
  'bounds.extraRetries': '58',
  'bounds.quotaWindowS': '8',
  'bounds.quotaOverage': '0.1',
  'bounds.quotaSlack': '110000',
  'bounds.versionMs': '12000',
  'bounds.leaseMs': '3000',
  'bounds.gracePeriodS': '8'
}

function render (values: Readonly<Record<string, string>> = VALUES): string {
  const template = readFileSync('deploy/settings.ini.template', 'utf8')
  return template.replace(/\{\{([\w.]+)\}\}/g, (_match, name: string) => values[name] ?? '')
}

function findingsOf (content: string): string[] {
  try {
    parseEdgeSettings(content, 'settings.ini')
    return []
  } catch (error) {
    if (!(error instanceof ConfigurationError)) throw error
    return error.findings.map(({ line, key, message }) => `${line} ${key} ${message}`)
  }
}

describe('parseEdgeSettings', () => {
  it('reads what the template renders', () => {
    expect(parseEdgeSettings(render(), 'settings.ini')).toEqual({
      instance: { name: 'router-1', dataCentre: 'north' },
      listen: { caller: { host: '10.0.0.1', port: 8606 }, readiness: { host: '10.0.0.1', port: 8605 } },
      store: { endpoint: { host: '10.0.0.9', port: 8601 } },
      limits: {
        revocation: 5000,
        retryWindow: 10_000,
        retryRatio: 0.2,
        retryExtra: 58,
        quotaWindow: 8000,
        quotaOverage: 0.1,
        quotaSlack: 110_000,
        oldWeights: 12_000,
        lease: 3000,
        grace: 8000
      }
    })
  })

  it('has no revocation bound where none is in force', () => {
    const settings = parseEdgeSettings(render({ ...VALUES, 'bounds.strictRevocation': 'false' }), 'settings.ini')
    expect(settings.limits.revocation).toBe(Infinity)
  })

  it('reports all errors at once, with line and key', () => {
    const content = render({ ...VALUES, nodeName: '', 'platform.address': 'nowhere', 'bounds.leaseMs': '-1' })
    expect(findingsOf(content)).toEqual([
      "3 instance.name '' is not valid", "11 store.address 'nowhere' is not valid", "23 limits.lease_ms '-1' is not valid"
    ])
  })

  it('reports missing sections', () => {
    expect(findingsOf('[instance]\nname = a\n')).toContain('0 listen.caller is missing')
  })
})
