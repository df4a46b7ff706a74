import { describe, expect, it } from 'vitest'
import { RepeatRule, type CallerRequest, type EdgeCustomer, type ModelWeights } from '../types'
import { createKeptParts, directCache, planPrompt, urgencyOf } from '../promptPlan'
import { createCustomer, createEntry, createRoute, createUpstreams } from './fixtures'

const request: CallerRequest = {
  identifier: 'r',
  patience: undefined,
  key: undefined,
  model: 'small',
  tokens: { prompt: 9000, output: 10 },
  promptParts: [{ identifier: 'a', tokens: 2500 }, { identifier: 'b', tokens: 3800 }, { identifier: 'own', tokens: 2700 }],
  resumeAfter: undefined
}
const store = { name: 'cache', endpoint: { host: '10.0.0.1', port: 1 }, dataCentre: 'north' }

function scopeOf (customer: EdgeCustomer | undefined, weights: ModelWeights[]): string | undefined {
  const [upstream] = createUpstreams([createEntry('e', { weights })])
  const plan = planPrompt(request, customer)
  return directCache({
    plan, customer, model: 'small', upstream: upstream!, store, kept: createKeptParts(), uniqueScope: 'r'
  }, 0).cacheScope
}

describe('planPrompt', () => {
  it.each([
    ['the last part is not shared', request.promptParts, false, ':b', 6300],
    ['an isolated customer shares with itself only', request.promptParts, true, 'bakery:b', 6300],
    ['a prompt of its own part alone', [{ identifier: 'own', tokens: 9 }], false, undefined, 0],
    ['no parts', [], false, undefined, 0]
  ])('%s', (_title, promptParts, isolated, subject, sharedTokens) => {
    const plan = planPrompt({ ...request, promptParts }, createCustomer({ isolated }))
    expect(plan).toMatchObject({ subject, sharedTokens })
  })
})

describe('directCache', () => {
  it.each([
    ['names model and weights', createCustomer(), [{ model: 'small', version: 3 }], 'small.3'],
    ['walls an isolated customer off', createCustomer({ isolated: true }), [{ model: 'small', version: 3 }], 'small.3.bakery'],
    ['shares nothing while the weights are not known', createCustomer(), [], 'request.r']
  ])('%s', (_title, customer, weights, expected) => {
    expect(scopeOf(customer, weights)).toBe(expected)
  })

  it('sends a part to the store once in a while, and fetches always', () => {
    const [upstream] = createUpstreams([createEntry('e')])
    const kept = createKeptParts()
    const at = (now: number): ReturnType<typeof directCache> => directCache({
      plan: planPrompt(request, undefined), customer: undefined, model: 'small', upstream: upstream!, store, kept, uniqueScope: 'r'
    }, now)
    expect(at(0)).toMatchObject({ importFrom: store.endpoint, exportTo: store.endpoint })
    expect(at(10)).toMatchObject({ importFrom: store.endpoint, exportTo: undefined })
    expect(at(20_000)).toMatchObject({ exportTo: store.endpoint })
  })
})

describe('urgencyOf', () => {
  it.each([
    ['the route alone', 1, undefined, 1],
    ['the customer before the route', 0, 1, 3],
    ['both', 1, 1, 4],
    ['never beyond the last', 9, 9, 9]
  ])('%s', (_title, priority, customerPriority, expected) => {
    expect(urgencyOf(createRoute({ priority }), createCustomer({ priority: customerPriority }))).toBe(expected)
  })

  it('is not set for plain calls', () => {
    expect(urgencyOf(createRoute({ repeat: RepeatRule.safe }), undefined)).toBeUndefined()
  })
})
