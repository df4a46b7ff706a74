import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { ListedInstance } from '../../types'
import { createUpstreamRegistry } from '../registry'
import type { UpstreamEvent, UpstreamRegistryOptions } from '../registryTypes'
import type { EngineReport } from '../types'

const listing = (name: string, changes: Partial<ListedInstance> = {}): ListedInstance => ({
  name, kind: 'engine', dataCentre: 'north', endpoint: { host: '127.0.0.1', port: 1 }, state: 'live', ...changes
})
const report = (incarnation: number, changes: Partial<EngineReport> = {}): EngineReport => ({
  incarnation,
  leaving: false,
  loaded: ['large@1'],
  running: 0,
  waiting: 0,
  waitingTokens: 0,
  prefillTokensPerSecond: 10_000,
  ...changes
})
const create = (options: Partial<UpstreamRegistryOptions> = {}) => {
  const events: UpstreamEvent[] = []
  const registry = createUpstreamRegistry({ dataCentre: 'north', onEvent: event => events.push(event), ...options })
  const candidates = (now: number, version = '1', adapter = '') =>
    registry.candidates('large', version, adapter, now).map(({ upstream }) => upstream)
  return { registry, events, candidates }
}

describe('upstream registry', () => {
  it('offers only upstreams with the version and adapter loaded', () => {
    const { registry, candidates } = create()
    registry.applyList(['a', 'b', 'c'].map(name => listing(name)), 1, 0)
    registry.applyReport('a', report(1), 0)
    registry.applyReport('b', report(1, { loaded: ['large@2', 'large@1+tone'] }), 0)
    expect(candidates(0)).toEqual(['a'])
    expect(candidates(0, '2')).toEqual(['b'])
    expect(candidates(0, '1', 'tone')).toEqual(['b'])
  })

  it.each([
    { name: 'the list', mark: (r: ReturnType<typeof create>['registry']) => r.applyList([listing('a', { state: 'leaving' })], 7, 1) },
    { name: 'its report', mark: (r: ReturnType<typeof create>['registry']) => r.applyReport('a', report(5, { leaving: true }), 1) },
    { name: 'its rejection', mark: (r: ReturnType<typeof create>['registry']) => r.markLeaving('a', 5, 1) }
  ])('excludes an upstream marked as leaving by $name immediately and for the entire incarnation', ({ mark }) => {
    const { registry, events, candidates } = create()
    registry.applyList([listing('a')], 6, 0)
    registry.applyReport('a', report(5), 0)
    mark(registry)
    registry.applyList([listing('a')], 8, 2)
    registry.applyReport('a', report(5), 2)
    expect(candidates(2)).toEqual([])
    registry.applyReport('a', report(9), 3)
    expect(candidates(3)).toEqual(['a'])
    expect(events.map(({ kind }) => kind)).toEqual(['found', 'leaving', 'restarted'])
  })

  it('ignores a leaving mark from a list created before the current incarnation started', () => {
    const { registry, candidates } = create()
    registry.applyList([listing('a')], 1, 0)
    registry.applyReport('a', report(50), 0)
    registry.applyList([listing('a', { state: 'leaving' })], 40, 1)
    expect(candidates(1)).toEqual(['a'])
  })

  it('drops such a mark when the list arrived before the first response', () => {
    const { registry, candidates } = create()
    registry.applyList([listing('a', { state: 'leaving' })], 40, 0)
    registry.applyReport('a', report(50), 1)
    expect(candidates(1)).toEqual(['a'])
  })

  it('keeps the leaving mark of an incarnation that was removed and listed again', () => {
    const { registry, candidates } = create({ keepUnlistedMilliseconds: 100 })
    registry.applyList([listing('a')], 6, 0)
    registry.applyReport('a', report(5, { leaving: true }), 0)
    registry.applyList([], 7, 1)
    registry.expire(200)
    expect(registry.upstreams(200)).toHaveLength(0)
    registry.applyList([listing('a')], 8, 201)
    registry.applyReport('a', report(5), 201)
    expect(candidates(201)).toEqual([])
  })

  it('keeps unlisted upstreams while they respond and removes them afterwards', () => {
    const { registry, events, candidates } = create({ keepUnlistedMilliseconds: 1000 })
    registry.applyList([listing('a'), listing('b')], 1, 0)
    registry.applyReport('a', report(1), 0)
    registry.applyReport('b', report(1), 0)
    registry.applyList([], 2, 10)
    for (let now = 500; now <= 5000; now += 500) {
      registry.applyReport('a', report(1), now)
      registry.expire(now)
    }
    expect(candidates(5000)).toEqual(['a'])
    expect(events.filter(({ kind }) => kind === 'lost').map(({ upstream }) => upstream)).toEqual(['b'])
  })

  it('suspects an upstream after consecutive failures and probes it with increasing back-off', () => {
    const { registry, candidates } = create()
    registry.applyList([listing('a')], 1, 0)
    registry.applyReport('a', report(1), 0)
    registry.recordFailure('a', 1)
    registry.recordFailure('a', 2)
    expect(candidates(2)).toEqual(['a'])
    registry.recordFailure('a', 3)
    expect(candidates(3)).toEqual([])
    expect(registry.probesDue(502)).toHaveLength(0)
    expect(registry.probesDue(503)).toHaveLength(1)
    registry.recordFailure('a', 503)
    expect(registry.probesDue(1502)).toHaveLength(0)
    registry.recordSuccess('a', 1503)
    expect(candidates(1503)).toEqual(['a'])
  })

  it('counts queued work once when both the report and the senders include it', () => {
    const { registry } = create()
    registry.applyList([listing('a')], 1, 0)
    registry.startWork('a', 'r1', 3000, 0)
    registry.applyPeerWork('peer', { a: 2000 }, 0)
    registry.applyReport('a', report(1, { waitingTokens: 5000 }), 10)
    expect(registry.upstream('a', 10)?.queuedTokens).toBe(5000)
    registry.startWork('a', 'r2', 1000, 20)
    expect(registry.upstream('a', 20)?.queuedTokens).toBe(6000)
    expect(registry.ownWork()).toEqual({ a: 4000 })
    registry.finishPrefill('a', 'r1', { computedTokens: 3000, milliseconds: 300 }, 300)
    registry.finishWork('a', 'r2', 300)
    expect(registry.upstream('a', 5000)).toMatchObject({ queuedTokens: 0, inFlight: 1 })
  })

  it('drops the work and the report of an incarnation that ended', () => {
    const { registry, events } = create()
    registry.applyList([listing('a')], 1, 0)
    registry.applyReport('a', report(1, { waitingTokens: 9000 }), 0)
    registry.startWork('a', 'r1', 3000, 1)
    registry.recordSuccess('a', 2, 4)
    expect(registry.upstream('a', 2)).toMatchObject({ incarnation: 4, queuedTokens: 0, inFlight: 0, loaded: [] })
    registry.applyReport('a', report(1), 3)
    expect(registry.upstream('a', 3)).toMatchObject({ incarnation: 4, loaded: [] })
    expect(events.at(-1)).toEqual({ kind: 'restarted', upstream: 'a', incarnation: 4 })
  })

  it('sorts plain services by distance, then by load', () => {
    const { registry } = create()
    const service = { kind: 'service', service: 'orders' } as const
    registry.applyList([
      listing('far', { ...service, dataCentre: 'south' }), listing('busy', service), listing('idle', service),
      listing('gone', { ...service, state: 'leaving' }), listing('other', { ...service, service: 'booking' })
    ], 1, 0)
    registry.startWork('busy', 'r1', 1, 0)
    expect(registry.services('orders', 0).map(({ name }) => name)).toEqual(['idle', 'busy', 'far'])
  })

  it('measures the prefill speed when none is reported', () => {
    const { registry } = create()
    registry.applyList([listing('a')], 1, 0)
    registry.startWork('a', 'r1', 4000, 0)
    registry.finishPrefill('a', 'r1', { computedTokens: 4000, milliseconds: 2000 }, 2000)
    expect(registry.upstream('a', 2000)?.prefillTokensPerSecond).toBe(2000)
  })

  it.each([
    { name: 'a cached prompt that was queued', computedTokens: 100, milliseconds: 510, wait: 500 },
    { name: 'a long computation without a queue', computedTokens: 5000, milliseconds: 500, wait: 0 }
  ])('separates the wait for other requests from the prefill of the request: $name', ({ computedTokens, milliseconds, wait }) => {
    const { registry } = create()
    registry.applyList([listing('a')], 1, 0)
    registry.applyReport('a', report(1), 0)
    registry.startWork('a', 'r1', computedTokens, 0)
    expect(registry.finishPrefill('a', 'r1', { computedTokens, milliseconds }, milliseconds)).toBe(wait)
  })
})

const name = fc.constantFrom('a', 'b')
const incarnation = fc.integer({ min: 100, max: 103 })
const step = fc.oneof(
  fc.record({
    kind: fc.constant('list' as const),
    asOf: fc.integer({ min: 90, max: 110 }),
    entries: fc.uniqueArray(fc.record({ name, leaving: fc.boolean() }), { selector: entry => entry.name })
  }),
  fc.record({ kind: fc.constant('report' as const), name, incarnation, leaving: fc.boolean() }),
  fc.record({ kind: fc.constant('rejection' as const), name, incarnation }),
  fc.record({ kind: fc.constant('failure' as const), name }),
  fc.record({ kind: fc.constant('success' as const), name, incarnation }),
  fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.integer({ min: 1, max: 2000 }) })
)

describe('upstream registry with messages in any order', () => {
  it('never clears the leaving mark of an incarnation, reverts to an older one, or removes an upstream that responds', () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const { registry, candidates } = create({ keepUnlistedMilliseconds: 3000 })
      let now = 0
      /** Incarnations that were reported as leaving, as `name/incarnation`. */
      const leavingIncarnations = new Set<string>()
      const highest = new Map<string, number>()
      const respondedAt = new Map<string, number>()
      for (const action of steps) {
        const before = new Map(registry.upstreams(now).map(view => [view.name, view]))
        if (action.kind === 'list') {
          registry.applyList(action.entries.map(entry =>
            listing(entry.name, { state: entry.leaving ? 'leaving' : 'live' })), action.asOf, now)
        } else if (action.kind === 'report') {
          registry.applyReport(action.name, report(action.incarnation, { leaving: action.leaving }), now)
        } else if (action.kind === 'rejection') registry.markLeaving(action.name, action.incarnation, now)
        else if (action.kind === 'failure') registry.recordFailure(action.name, now)
        else if (action.kind === 'success') registry.recordSuccess(action.name, now, action.incarnation)
        else {
          now += action.milliseconds
          registry.expire(now)
        }
        if ((action.kind === 'report' || action.kind === 'success') &&
          before.has(action.name) && action.incarnation >= before.get(action.name)!.incarnation) {
          respondedAt.set(action.name, now)
        }
        const views = new Map(registry.upstreams(now).map(view => [view.name, view]))
        for (const known of before.keys()) {
          if (now - (respondedAt.get(known) ?? -Infinity) <= 3000) expect(views.has(known)).toBe(true)
        }
        for (const view of views.values()) {
          if (view.incarnation === 0) continue
          const floor = before.has(view.name) ? highest.get(view.name) ?? 0 : 0
          expect(view.incarnation).toBeGreaterThanOrEqual(floor)
          highest.set(view.name, view.incarnation)
          const incarnationName = `${view.name}/${view.incarnation}`
          if (view.leaving) leavingIncarnations.add(incarnationName)
          expect(view.leaving).toBe(leavingIncarnations.has(incarnationName))
          if (view.leaving || view.suspected) expect(candidates(now)).not.toContain(view.name)
        }
      }
    }), { numRuns: 500 })
  })
})
