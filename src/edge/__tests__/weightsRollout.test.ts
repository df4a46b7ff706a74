import { describe, expect, it } from 'vitest'
import { CommandOutcome } from '../types'
import type { Upstream } from '../upstreamDirectory'
import { createWeightsRollout, parseProgress, type WeightsRollout } from '../weightsRollout'
import { createEntry, createUpstreams } from './fixtures'

function createEngines (versions: readonly number[]): Upstream[] {
  return createUpstreams(versions.map((version, index) => createEntry(`e${index}`, { weights: [{ model: 'small', version }] })))
}

function names (steps: ReturnType<WeightsRollout['nextSteps']>): string[] {
  return steps.map(({ kind, upstream }) => `${kind} ${upstream.entry.identifier}`)
}

const NOW = { steady: 0, wall: 0 }
const idle = { acceptedCommands: 0, busy: false, weights: [{ model: 'small', version: 1 }] }

describe('createWeightsMove', () => {
  it('ignores weights older than those requested before', () => {
    const move = createWeightsRollout()
    expect(move.setTarget({ model: 'small', version: 3 }, NOW)).toBe(true)
    expect(move.setTarget({ model: 'small', version: 2 }, NOW)).toBe(false)
    expect(move.target('small')).toBe(3)
  })

  it.each([
    ['the newest weights', 3, 0],
    ['superseded weights, counted from the first request for newer ones', 2, 6000],
    ['older weights, also if still newer ones were requested since', 1, 10_000]
  ])('time since a newer version was requested: %s', (_title, version, expected) => {
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 2 }, { steady: 0, wall: 0 })
    move.setTarget({ model: 'small', version: 3 }, { steady: 4000, wall: 4000 })
    expect(move.supersededFor('small', version, { steady: 10_000, wall: 10_000 })).toBe(expected)
  })

  it('treats weights as superseded for ever if the time of the request is unknown', () => {
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 2 }, undefined)
    expect(move.supersededFor('small', 1, NOW)).toBe(Infinity)
  })

  it('selects the same engines to load on all instances', () => {
    const engines = createEngines([2, 1, 1, 1, 2])
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 2 }, NOW)
    const names = (upstreams: Iterable<Upstream>): string[] => [...upstreams].map(({ entry }) => entry.identifier)
    expect(names(move.loadingEngines(engines, 0))).toEqual(['e1', 'e2'])
    expect(names(move.loadingEngines([...engines].reverse(), 0))).toEqual(['e1', 'e2'])
  })

  it('requests a report before each command', () => {
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 2 }, NOW)
    const engines = createEngines([1])
    expect(names(move.nextSteps(engines, 0))).toEqual(['report e0'])
    move.recordReport(engines[0]!, { ...idle, acceptedCommands: 4 }, 0)
    expect(names(move.nextSteps(engines, 0))).toEqual(['order e0'])
    expect(move.acceptedCommands(engines[0]!)).toBe(4)
  })

  it.each<[string, CommandOutcome, number, string[]]>([
    ['an accepted command is followed by a report', CommandOutcome.accepted, 200, ['report e0']],
    ['a command without a response is followed by a report, not repeated', CommandOutcome.unknown, 200, ['report e0']],
    ['no step right after a conflicting command', CommandOutcome.conflict, 599, []],
    ['a report after the retry delay of a conflicting command', CommandOutcome.conflict, 600, ['report e0']],
    ['no step if the engine already has the weights', CommandOutcome.done, 5000, []]
  ])('%s', (_title, outcome, time, expected) => {
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 2 }, NOW)
    const engines = createEngines([1])
    move.nextSteps(engines, 0)
    move.recordReport(engines[0]!, idle, 0)
    move.recordCommand(engines[0]!, outcome, 0)
    expect(names(move.nextSteps(engines, time))).toEqual(expected)
  })

  // On the known deployments loading slows down if more than 2 of 6, 12 of 42 or 18 of 63 engines load at the same time.
  it.each([[1, 1], [5, 2], [6, 2], [10, 3], [42, 12], [63, 18]])('with %i engines, up to %i load at the same time', (count, expected) => {
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 2 }, NOW)
    expect(move.nextSteps(createEngines(Array.from({ length: count }, () => 1)), 0)).toHaveLength(expected)
  })

  it('starts with the oldest weights when newer ones are requested during a rollout', () => {
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 3 }, NOW)
    expect(names(move.nextSteps(createEngines([2, 2, 1, 3, 1]), 0))).toEqual(['report e2', 'report e4'])
  })

  it('ignores draining engines and plain services', () => {
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 2 }, NOW)
    const engines = createUpstreams([createEntry('gone', { leaving: true }), createEntry('orders', { weights: [] })])
    expect(move.isPending(engines)).toBe(false)
    expect(move.nextSteps(engines, 0)).toEqual([])
  })

  it('repeats a command that was lost', () => {
    const move = createWeightsRollout()
    move.setTarget({ model: 'small', version: 2 }, NOW)
    const engines = createEngines([1])
    move.nextSteps(engines, 0)
    move.recordReport(engines[0]!, idle, 0)
    move.recordCommand(engines[0]!, CommandOutcome.unknown, 0)
    move.nextSteps(engines, 250)
    move.recordReport(engines[0]!, idle, 250)
    expect(names(move.nextSteps(engines, 250))).toEqual(['order e0'])
  })

  // Guards against a fault of fleets in which each instance gets a response from an engine only every few seconds: without
  // progress from the lease holder, an instance treated engines as loading that had finished long before, and sent
  // requests to others that were loading.
  describe('progress published by the lease holder', () => {
    const upstreams = createEngines([1, 1, 1, 1, 1, 1, 1, 1, 1, 1])
    const holder = createWeightsRollout()
    holder.setTarget({ model: 'small', version: 2 }, NOW)
    const loaded = createEngines([2, 2, 2, 2, 1, 1, 1, 1, 1, 1])
    const progress = holder.progress(loaded, 0)

    it('lists the engines to load and the new weights', () => {
      expect(progress.underOrder).toEqual(['e4', 'e5', 'e6'])
      expect(progress.weights).toContainEqual({ upstream: 'e0', startedAt: 1, model: 'small', version: 2 })
    })

    it('repeats weights only for a limited time', () => {
      expect(holder.progress(loaded, 999).weights).toHaveLength(10)
      expect(holder.progress(loaded, 1000).weights).toHaveLength(0)
    })

    it('is used by the other instances for a limited time', () => {
      const move = createWeightsRollout()
      move.setTarget({ model: 'small', version: 2 }, NOW)
      move.applyProgress(progress, upstreams, 0)
      const under = (now: number): string[] => (
        [...move.loadingEngines(upstreams, now)].map(({ entry }) => entry.identifier)
      )
      expect(under(999)).toEqual(['e4', 'e5', 'e6'])
      expect(upstreams.map(({ weights }) => weights.get('small'))).toEqual([2, 2, 2, 2, 1, 1, 1, 1, 1, 1])
      expect(under(1000)).toEqual(['e4', 'e5', 'e6'])
      const later = createEngines([1, 1, 1, 1, 1, 1, 1, 1, 1, 1])
      expect([...move.loadingEngines(later, 1000)].map(({ entry }) => entry.identifier)).toEqual(['e0', 'e1', 'e2'])
    })

    it('is not applied to an engine that has restarted since', () => {
      const move = createWeightsRollout()
      const restarted = createUpstreams([createEntry('e0', { startedAt: 9, weights: [{ model: 'small', version: 1 }] })])
      move.applyProgress(progress, restarted, 0)
      expect(restarted[0]!.weights.get('small')).toBe(1)
    })

    it.each([
      { name: 'complete progress', content: { ...progress }, isSound: true },
      { name: 'no engines', content: { weights: [] }, isSound: false },
      { name: 'engines without names', content: { underOrder: [1], weights: [] }, isSound: false },
      { name: 'weights without a version', content: { underOrder: [], weights: [{ upstream: 'e0', startedAt: 1, model: 'small' }] }, isSound: false }
    ])('is parsed only if valid: $name', ({ content, isSound }) => {
      expect(parseProgress(content) !== undefined).toBe(isSound)
    })
  })
})
