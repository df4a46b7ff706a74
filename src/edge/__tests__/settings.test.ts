import { describe, expect, it } from 'vitest'
import { ConfigurationError } from '../../errors'
import { parseEdgeSettings } from '../settings'
import { renderSettings } from './fixtures'

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
  it('parses the rendered template', () => {
    expect(parseEdgeSettings(renderSettings(), 'settings.ini')).toEqual({
      instance: { name: 'router-1', dataCentre: 'north' },
      listen: {
        caller: { host: '10.0.0.1', port: 8606 },
        readiness: { host: '10.0.0.1', port: 8605 },
        peer: { host: '10.0.0.1', port: 7600 },
        metrics: { host: '10.0.0.1', port: 9464 }
      },
      store: { endpoint: { host: '10.0.0.9', port: 8601 } },
      placement: { crossZone: 'auto' },
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
        grace: 8000,
        exposure: 0.1
      },
      admission: { order: false }
    })
  })

  // Guards against a daemon that does not start with the settings of an earlier deployment.
  it.each([
    ['settings without the section', renderSettings().replace(/\n\[zones\][^]*$/, '\n')],
    ['no data centres', renderSettings()],
    ['a section that was not expanded', `${renderSettings()}{{#zones}}\n = \n{{/zones}}\n`],
    ['a data centre without a region', renderSettings({}, { north: '' })]
  ])('knows no regions from %s', (_title, content) => {
    expect(parseEdgeSettings(content, 'settings.ini').regions).toBeUndefined()
  })

  it('parses the region of each data centre', () => {
    const zones = { north: 'eu', 'front-norte.c': 'br' }
    expect([...parseEdgeSettings(renderSettings({}, zones), 'settings.ini').regions!]).toEqual([
      ['north', 'eu'], ['front-norte.c', 'br']
    ])
  })

  it('has no revocation limit without strict revocation', () => {
    const settings = parseEdgeSettings(renderSettings({ 'bounds.strictRevocation': 'false' }), 'settings.ini')
    expect(settings.limits.revocation).toBe(Infinity)
  })

  it('has no exposure limit where the platform states none, because services have no rollouts', () => {
    const settings = parseEdgeSettings(renderSettings({ 'bounds.exposureShare': '' }), 'settings.ini')
    expect(settings.limits.exposure).toBeUndefined()
  })

  it('reports all errors at once, with line and key', () => {
    const content = renderSettings({ nodeName: '', 'platform.address': 'nowhere', 'bounds.leaseMs': '-1' })
    expect(findingsOf(content)).toEqual([
      "3 instance.name '' is not valid", "13 store.address 'nowhere' is not valid", "28 limits.lease_ms '-1' is not valid"
    ])
  })

  it.each([
    ['free', 'cross_zone = free', [], 'free'],
    ['free without the setting', '', [], 'free'],
    ['an error for another word', 'cross_zone = never', ["16 placement.cross_zone 'never' is not valid"], undefined]
  ])('places requests at other data centres: %s', (_title, line, findings, expected) => {
    const content = renderSettings().replace('cross_zone = auto', line)
    expect(findingsOf(content)).toEqual(findings)
    if (expected !== undefined) {
      expect(parseEdgeSettings(content, 'settings.ini').placement.crossZone).toBe(expected)
    }
  })

  it('reports missing sections', () => {
    expect(findingsOf('[instance]\nname = a\n')).toContain('0 listen.caller is missing')
  })
})
