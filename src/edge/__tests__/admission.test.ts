import { describe, expect, it } from 'vitest'
import { admit, AdmissionRejection, findKeyObstacle } from '../admission'
import { Obstacle } from '../attemptDecision'
import { createFreshness } from '../freshness'
import { createRouteTable } from '../routeTable'
import type { CallerRequest, EdgeCustomer } from '../types'
import { createConfiguration, createCustomer, createRoute } from './fixtures'

const table = createRouteTable(createConfiguration({
  routes: [createRoute(), createRoute({ name: 'open', prefix: '/open/', open: true })]
}))
const request: CallerRequest = {
  identifier: 'r', callerTimeout: 4000, key: 'bakery-key', model: 'small', tokens: undefined, promptSegments: [], resumeAfter: undefined
}

describe('admit', () => {
  it.each<[string, string, string | undefined, number, AdmissionRejection | undefined]>([
    ['a known key', '/chat/x', 'bakery-key', 0, undefined],
    ['a path with a query', '/chat/x?y=/z', 'bakery-key', 0, undefined],
    ['an unknown key', '/chat/x', 'other', 0, AdmissionRejection.unknownKey],
    ['no key', '/chat/x', undefined, 0, AdmissionRejection.unknownKey],
    ['an unknown route', '/other/x', 'bakery-key', 0, AdmissionRejection.unknownRoute],
    ['an open route without key', '/open/x', undefined, 0, undefined],
    ['an open route with an outdated configuration', '/open/x', undefined, 60_000, undefined],
    ['a known key with an outdated configuration', '/chat/x', 'bakery-key', 4600, AdmissionRejection.staleConfiguration],
    ['an unknown key that may have been added since', '/chat/x', 'other', 3500, AdmissionRejection.staleConfiguration],
    ['an unknown route that may have been added since', '/other/x', 'bakery-key', 3500, AdmissionRejection.staleConfiguration]
  ])('%s', (_title, path, key, age, rejection) => {
    const freshness = createFreshness(5000)
    freshness.recordConfirmation({ steady: 0, wall: 0 })
    const admission = admit(table, freshness, 'chat.example', path, { ...request, key }, { steady: age, wall: age })
    expect(admission.admitted ? undefined : admission.rejection).toBe(rejection)
  })

  it('rejects requests as not ready before the first configuration', () => {
    const admission = admit(undefined, createFreshness(5000), 'chat.example', '/', request, { steady: 0, wall: 0 })
    expect(admission).toEqual({ admitted: false, rejection: AdmissionRejection.noConfiguration })
  })
})

describe('findKeyObstacle', () => {
  const bakery = createCustomer()

  it.each<[string, EdgeCustomer | undefined, EdgeCustomer, number, Obstacle | undefined]>([
    ['a key that is still valid', bakery, bakery, 0, undefined],
    ['a key that was withdrawn', bakery, createCustomer({ keys: ['new-key'] }), 0, Obstacle.key],
    ['a key that was moved to another customer', bakery, createCustomer({ name: 'mill' }), 0, Obstacle.key],
    ['a key that an outdated configuration holds', bakery, bakery, 4600, Obstacle.keyUnconfirmed],
    ['a key that was withdrawn before an outage', bakery, createCustomer({ keys: [] }), 4600, Obstacle.key],
    ['no key, on an open route', undefined, createCustomer({ keys: [] }), 60_000, undefined]
  ])('decides about %s', (_title, customer, current, age, obstacle) => {
    const freshness = createFreshness(5000)
    freshness.recordConfirmation({ steady: 0, wall: 0 })
    const routeTable = createRouteTable(createConfiguration({ customers: [current] }))
    const context = { routeTable: () => routeTable, freshness }
    const admitted = { callerRequest: { ...request, key: 'bakery-key' }, customer }
    expect(findKeyObstacle(context, admitted, { steady: age, wall: age })).toBe(obstacle)
  })
})
