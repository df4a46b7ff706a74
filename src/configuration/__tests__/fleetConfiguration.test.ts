import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ConfigurationError } from '../../errors'
import type { FleetConfiguration } from '../../types'
import { parseStoredConfiguration, readFleetConfiguration, serializeFleetConfiguration } from '../fleetConfiguration'
import { planChanges } from '../plan'

const file = `
[data-centre south]
weight = 2
[customer bakery]
rate = 1500.5
burst = 6000
[model chat-3.1]
version = v2
finish_by = 2026-12-04T05:00:00Z
[route orders]
path = /orders
service = ordering
methods = GET, POST
idempotent_methods = GET
`

const nameArbitrary = fc.stringMatching(/^[a-z][a-z0-9.-]{0,12}$/)
const amountArbitrary = fc.double({ min: 0, max: 1e9, noNaN: true }).map(value => value === 0 ? 0 : value)
export const fleetArbitrary: fc.Arbitrary<FleetConfiguration> = fc.record({
  dataCentres: fc.array(fc.record({ name: nameArbitrary, weight: amountArbitrary })),
  customers: fc.array(fc.record({
    name: nameArbitrary, rate: amountArbitrary, burst: amountArbitrary, weight: amountArbitrary
  })),
  models: fc.array(fc.record({
    name: nameArbitrary,
    version: nameArbitrary,
    finishBy: fc.option(fc.nat(), { nil: undefined }),
    maximumOutputTokens: fc.nat(),
    parallelLoads: fc.nat()
  })),
  routes: fc.array(fc.record({
    name: nameArbitrary,
    path: fc.webPath(),
    service: nameArbitrary,
    methods: fc.array(fc.constantFrom('GET', 'POST')),
    idempotentMethods: fc.array(fc.constantFrom('GET', 'POST')),
    open: fc.boolean(),
    cost: fc.nat()
  }))
})

describe('fleet configuration', () => {
  it('reads all sections and does not treat a dot in a name as nesting', () => {
    expect(readFleetConfiguration('fleet.ini', file)).toEqual({
      dataCentres: [{ name: 'south', weight: 2 }],
      customers: [{ name: 'bakery', rate: 1500.5, burst: 6000, weight: 1 }],
      models: [{ name: 'chat-3.1', version: 'v2', finishBy: Date.UTC(2026, 11, 4, 5), maximumOutputTokens: 4096, parallelLoads: 2 }],
      routes: [{
        name: 'orders', path: '/orders', service: 'ordering', methods: ['GET', 'POST'], idempotentMethods: ['GET'], open: false, cost: 1
      }]
    })
  })

  it.each([
    ['unknown section kind', '[custmer x]\n', { line: 15, suggestion: 'customer' }],
    ['section without name', '[customer]\n', { key: '[customer]' }],
    ['repeated section', '[customer bakery]\nrate = 1\nburst = 1\n', { message: 'already defined in line 4' }],
    ['misspelt key', '[customer x]\nrate = 1\nburst = 1\nwieght = 2\n', { line: 18, suggestion: 'weight' }],
    ['time without zone', '[model x]\nversion = 1\nfinish_by = 2026-12-04T05:00:00\n', { line: 17 }],
    ['version containing the adapter separator', '[model x]\nversion = a+b\n', { line: 16 }],
    ['idempotent method that is not in methods', '[route x]\npath = /x\nservice = s\nidempotent_methods = PUT\n', { line: 15 }],
    ['path reserved for the router', '[route x]\npath = /v1/chat\nservice = s\n', { line: 15 }],
    ['path of another route', '[route x]\npath = /orders\nservice = s\n', { line: 15 }]
  ])('rejects %s', (_, text, finding) => {
    expect(() => readFleetConfiguration('fleet.ini', file + text)).toThrow(expect.objectContaining({
      findings: [expect.objectContaining({ file: 'fleet.ini', ...finding })]
    }))
  })

  it('is unchanged after encoding and decoding, so that every instance applies what the operator checked', () => {
    fc.assert(fc.property(fleetArbitrary, (configuration) => {
      expect(parseStoredConfiguration('object', serializeFleetConfiguration(configuration))).toEqual(configuration)
    }))
  })

  it.each(['', '{}', '[]', '{"dataCentres":[{"name":1}]}', '\xff'])('rejects a malformed object %j', (text) => {
    expect(() => parseStoredConfiguration('object', Buffer.from(text, 'latin1'))).toThrow(ConfigurationError)
  })

  it('plans no changes between equal configurations and all changes between different ones', () => {
    const before = readFleetConfiguration('fleet.ini', file)
    const after = readFleetConfiguration('fleet.ini', file.replace('v2', 'v3').replace('[customer bakery]', '[customer mill]'))
    expect(planChanges(before, before)).toEqual([])
    expect(planChanges(before, after)).toEqual([
      { kind: 'removed', section: 'customer', name: 'bakery' },
      { kind: 'added', section: 'customer', name: 'mill' },
      { kind: 'changed', section: 'model', name: 'chat-3.1', fields: [{ field: 'version', before: 'v2', after: 'v3' }] }
    ])
  })
})
