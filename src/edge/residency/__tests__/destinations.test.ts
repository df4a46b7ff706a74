import { describe, expect, it } from 'vitest'
import { createCustomer, createEntry, createRoute, createUpstreams } from '../../__tests__/fixtures'
import { composeAttemptRequest } from '../../attemptRequest'
import type { AdmittedRequest, ExchangeContext } from '../../exchangeContext'
import type { AttemptParameters } from '../../types'
import { createDestinations, DestinationObstacle, type RestrictedRequest } from '../destinations'

const REGIONS = new Map([['north', 'eu'], ['south', 'eu'], ['west', 'us']])
const DATA_CENTRES = ['north', 'south', 'west', 'unknown']

function requestOf (route?: readonly string[], customer?: readonly string[]): RestrictedRequest {
  return { route: { allowedRegions: route }, customer: { allowedRegions: customer } }
}

describe('the destinations of a request', () => {
  // Guards against data that leaves its regions, and against requests to an evacuated data centre.
  it.each<[string, RestrictedRequest, string[], string[], DestinationObstacle | undefined]>([
    ['all without lists', requestOf(), [], DATA_CENTRES, undefined],
    ['all with empty lists', requestOf([], []), [], DATA_CENTRES, undefined],
    ['all without a customer', { route: {}, customer: undefined }, [], DATA_CENTRES, undefined],
    ['those of the list of the route', requestOf(['eu']), [], ['north', 'south'], undefined],
    ['those of the list of the customer', requestOf([], ['us']), [], ['west'], undefined],
    ['those of both lists', requestOf(['eu', 'us'], ['us', 'asia']), [], ['west'], undefined],
    ['none if the lists share no region', requestOf(['eu'], ['us']), [], [], DestinationObstacle.homes],
    ['none if no data centre is in the region', requestOf(['asia']), [], [], DestinationObstacle.homes],
    ['those that are not evacuated', requestOf(), ['north'], ['south', 'west', 'unknown'], undefined],
    ['allowed ones that are not evacuated', requestOf(['eu']), ['north'], ['south'], undefined],
    ['none if all allowed ones are evacuated', requestOf(['us']), ['west'], [], DestinationObstacle.evacuated],
    ['none if all are evacuated', requestOf(), DATA_CENTRES, [], DestinationObstacle.evacuated]
  ])('are %s', (_title, request, evacuated, expected, obstacle) => {
    const destinations = createDestinations({ regions: REGIONS, isEvacuated: (name) => evacuated.includes(name) })
    expect(DATA_CENTRES.filter((name) => destinations.isPermitted(name, request))).toEqual(expected)
    const upstreams = DATA_CENTRES.map((dataCentre) => ({ entry: { dataCentre } }))
    const selected = destinations.selectPermitted(upstreams, request)
    expect(selected.map(({ entry }) => entry.dataCentre)).toEqual(expected)
    expect(destinations.findObstacle(DATA_CENTRES, request)).toBe(obstacle)
  })

  it('are none with a list while the settings name no regions', () => {
    const destinations = createDestinations({ regions: new Map(), isEvacuated: () => false })
    expect(DATA_CENTRES.filter((name) => destinations.isPermitted(name, requestOf(['eu'])))).toEqual([])
    expect(DATA_CENTRES.filter((name) => destinations.isPermitted(name, requestOf()))).toEqual(DATA_CENTRES)
  })

  it('are not the reason if no upstream is listed', () => {
    const destinations = createDestinations({ regions: REGIONS, isEvacuated: () => true })
    expect(destinations.findObstacle([], requestOf(['asia']))).toBeUndefined()
  })
})

describe('the cache store of a request', () => {
  // Guards against cached prefixes that leave the regions, and against segments that count as sent without having been.
  it.each<[string, string, readonly string[] | undefined, boolean]>([
    ['is used without lists', 'west', undefined, true],
    ['is used in an allowed region', 'south', ['eu'], true],
    ['is not used in another region', 'west', ['eu'], false],
    ['is not used in an unknown data centre', 'unknown', ['eu'], false]
  ])('%s', (_title, dataCentre, allowedRegions, isUsed) => {
    const endpoint = { host: '10.0.0.2', port: 8604 }
    const sent: AttemptParameters[] = []
    const exported: string[] = []
    const context = {
      dialect: {
        upstreamHeaders (_raw: unknown, _bytes: unknown, values: AttemptParameters) {
          sent.push(values)
          return []
        }
      },
      cacheStoreFor: () => ({ name: 'cache', endpoint, dataCentre }),
      exportTracker: { shouldExport: (_scope: string, segment: string) => exported.push(segment) > 0 },
      destinations: createDestinations({ regions: REGIONS, isEvacuated: () => false })
    } as unknown as ExchangeContext
    const admitted = {
      request: { rawHeaders: [] },
      callerRequest: { model: 'small', identifier: 'one' },
      route: createRoute({ allowedRegions }),
      customer: createCustomer(),
      plan: { prefixKey: ':part', lastSharedSegment: 'part', sharedTokens: 5000, promptTokens: 6000 }
    } as unknown as AdmittedRequest
    const [upstream] = createUpstreams([createEntry('a')])
    composeAttemptRequest(context, admitted, {
      upstream: upstream!, timeLeft: 1000, urgency: 0, lastEvent: undefined
    }, 0)
    expect(sent[0]?.importFrom).toEqual(isUsed ? endpoint : undefined)
    expect(sent[0]?.exportTo).toEqual(isUsed ? endpoint : undefined)
    expect(exported).toEqual(isUsed ? ['part'] : [])
  })
})
