import { describe, expect, it } from 'vitest'
import { RepeatRule, type CallerRequest, type EdgeCustomer, type ModelWeights } from '../types'
import { createExportTracker, planCache, planPrompt, urgencyOf } from '../promptPlan'
import { createCustomer, createEntry, createRoute, createUpstreams } from './fixtures'

const request: CallerRequest = {
  identifier: 'r',
  callerTimeout: undefined,
  key: undefined,
  model: 'small',
  tokens: { prompt: 9000, output: 10 },
  promptSegments: [{ identifier: 'a', tokens: 2500 }, { identifier: 'b', tokens: 3800 }, { identifier: 'own', tokens: 2700 }],
  resumeAfter: undefined
}
const store = { name: 'cache', endpoint: { host: '10.0.0.1', port: 1 }, dataCentre: 'north' }

function scopeOf (customer: EdgeCustomer | undefined, weights: ModelWeights[]): string | undefined {
  const [upstream] = createUpstreams([createEntry('e', { weights })])
  const plan = planPrompt(request, customer)
  return planCache({
    plan, customer, model: 'small', upstream: upstream!, storeFor: () => store, exportTracker: createExportTracker(() => false), uniqueScope: 'r'
  }, 0).cacheScope
}

describe('planPrompt', () => {
  it.each([
    ['the last segment is not shared', request.promptSegments, false, ':b', 6300],
    ['an isolated customer shares only with itself', request.promptSegments, true, 'bakery:b', 6300],
    ['a prompt with only an own segment', [{ identifier: 'own', tokens: 9 }], false, undefined, 0],
    ['no segments', [], false, undefined, 0]
  ])('%s', (_title, promptSegments, isolated, prefixKey, sharedTokens) => {
    const plan = planPrompt({ ...request, promptSegments }, createCustomer({ isolated }))
    expect(plan).toMatchObject({ prefixKey, sharedTokens })
  })
})

describe('directCache', () => {
  it.each([
    ['names model and weights in the scope', createCustomer(), [{ model: 'small', version: 3 }], 'small.3'],
    ['separates an isolated customer', createCustomer({ isolated: true }), [{ model: 'small', version: 3 }], 'small.3.bakery'],
    ['shares nothing while the weights are unknown', createCustomer(), [], 'request.r']
  ])('%s', (_title, customer, weights, expected) => {
    expect(scopeOf(customer, weights)).toBe(expected)
  })

  it.each([
    ['a missing segment once per visibility delay', false, [0, 10, 3000], [true, false, true]],
    ['no segment that the store holds', true, [0, 10, 3000], [false, false, false]]
  ])('exports %s, and always imports', (_title, isStored, times, expectedExports) => {
    const [upstream] = createUpstreams([createEntry('e')])
    const exportTracker = createExportTracker((scope, segment) => isStored && scope === 'small.1' && segment === 'b')
    const plan = planPrompt(request, undefined)
    const directions = times.map((now) => planCache({
      plan, customer: undefined, model: 'small', upstream: upstream!, storeFor: () => store, exportTracker, uniqueScope: 'r'
    }, now))
    expect(directions.map(({ exportTo }) => exportTo !== undefined)).toEqual(expectedExports)
    expect(directions.every(({ importFrom }) => importFrom === store.endpoint)).toBe(true)
  })
})

describe('urgencyOf', () => {
  it.each([
    ['uses the route alone', 1, undefined, 1],
    ['puts the customer before the route', 0, 1, 3],
    ['combines both', 1, 1, 4],
    ['is capped at the lowest urgency', 9, 9, 9]
  ])('%s', (_title, priority, customerPriority, expected) => {
    expect(urgencyOf(createRoute({ priority }), createCustomer({ priority: customerPriority }))).toBe(expected)
  })

  it('is undefined for plain calls', () => {
    expect(urgencyOf(createRoute({ repeat: RepeatRule.safe }), undefined)).toBeUndefined()
  })
})
