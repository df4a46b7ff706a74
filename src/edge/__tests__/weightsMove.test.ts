import { describe, expect, it } from 'vitest'
import { OrderOutcome } from '../types'
import type { Upstream } from '../upstreamDirectory'
import { createWeightsMove, type WeightsMove } from '../weightsMove'
import { createEntry, createUpstreams } from './fixtures'

function createEngines (versions: readonly number[]): Upstream[] {
  return createUpstreams(versions.map((version, index) => createEntry(`e${index}`, { weights: [{ model: 'small', version }] })))
}

function names (steps: ReturnType<WeightsMove['nextSteps']>): string[] {
  return steps.map(({ kind, upstream }) => `${kind} ${upstream.entry.identifier}`)
}

const idle = { orders: 0, busy: false, weights: [{ model: 'small', version: 1 }] }

describe('createWeightsMove', () => {
  it('ignores weights older than those named before', () => {
    const move = createWeightsMove()
    expect(move.want({ model: 'small', version: 3 })).toBe(true)
    expect(move.want({ model: 'small', version: 2 })).toBe(false)
    expect(move.wanted('small')).toBe(3)
  })

  it('asks for a report before each order', () => {
    const move = createWeightsMove()
    move.want({ model: 'small', version: 2 })
    const engines = createEngines([1])
    expect(names(move.nextSteps(engines, 0))).toEqual(['report e0'])
    move.reported(engines[0]!, { ...idle, orders: 4 }, 0)
    expect(names(move.nextSteps(engines, 0))).toEqual(['order e0'])
    expect(move.acceptedOrders(engines[0]!)).toBe(4)
  })

  it.each<[string, OrderOutcome, number, string[]]>([
    ['an accepted order is watched', OrderOutcome.accepted, 200, ['report e0']],
    ['an order without answer is watched, not repeated', OrderOutcome.unknown, 200, ['report e0']],
    ['a conflicting order is looked at later', OrderOutcome.conflict, 599, []],
    ['and then begins with a report', OrderOutcome.conflict, 600, ['report e0']],
    ['done needs nothing more', OrderOutcome.done, 5000, []]
  ])('%s', (_title, outcome, time, expected) => {
    const move = createWeightsMove()
    move.want({ model: 'small', version: 2 })
    const engines = createEngines([1])
    move.nextSteps(engines, 0)
    move.reported(engines[0]!, idle, 0)
    move.ordered(engines[0]!, outcome, 0)
    expect(names(move.nextSteps(engines, time))).toEqual(expected)
  })

  it('keeps most engines in service', () => {
    const move = createWeightsMove()
    move.want({ model: 'small', version: 2 })
    expect(move.nextSteps(createEngines(Array.from({ length: 10 }, () => 1)), 0)).toHaveLength(4)
  })

  it('takes the oldest weights first when newer ones are named on the way', () => {
    const move = createWeightsMove()
    move.want({ model: 'small', version: 3 })
    expect(names(move.nextSteps(createEngines([2, 2, 1, 3, 1]), 0))).toEqual(['report e2', 'report e4'])
  })

  it('leaves leaving engines and plain services alone', () => {
    const move = createWeightsMove()
    move.want({ model: 'small', version: 2 })
    const engines = createUpstreams([createEntry('gone', { leaving: true }), createEntry('orders', { weights: [] })])
    expect(move.isPending(engines)).toBe(false)
    expect(move.nextSteps(engines, 0)).toEqual([])
  })

  it('orders anew after an order that was lost', () => {
    const move = createWeightsMove()
    move.want({ model: 'small', version: 2 })
    const engines = createEngines([1])
    move.nextSteps(engines, 0)
    move.reported(engines[0]!, idle, 0)
    move.ordered(engines[0]!, OrderOutcome.unknown, 0)
    move.nextSteps(engines, 250)
    move.reported(engines[0]!, idle, 250)
    expect(names(move.nextSteps(engines, 250))).toEqual(['order e0'])
  })
})
