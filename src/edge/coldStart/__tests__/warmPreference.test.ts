import { describe, expect, it } from 'vitest'
import { createEntry, createUpstreams } from '../../__tests__/fixtures'
import { observeWait, suspectUpstream, type Upstream } from '../../upstreamDirectory'
import { preferWarm } from '../warmPreference'

const LATENCY_TARGET = 400

/** Places a request at the first of the upstreams. */
function placeFirst ([upstream]: readonly Upstream[]): { upstream: Upstream } | undefined {
  return upstream === undefined ? undefined : { upstream }
}

describe('a request with cold and warm upstreams', () => {
  // Guards against requests that use the few permits of a cold upstream, or wait at it, while a warm one has room.
  it.each<[string, string[], (upstreams: Upstream[]) => void, string | undefined]>([
    ['goes to the best one if that is warm', ['b'], () => {}, 'a'],
    ['goes to the best warm one', ['a', 'b'], () => {}, 'c'],
    ['goes to the best one if all are cold', ['a', 'b', 'c'], () => {}, 'a'],
    ['goes to a cold one if the warm ones make it wait', ['a', 'b'], ([, , c]) => { observeWait(c!, 0, 1000, 0) }, 'a'],
    ['stays at a warm one with a short wait', ['a', 'b'], ([, , c]) => { observeWait(c!, 0, 300, 0) }, 'c'],
    ['goes to a cold one if the warm one may be unreachable', ['a', 'b'], ([, , c]) => { suspectUpstream(c!, 0, 300) }, 'a']
  ])('%s', (_title, cold, prepare, expected) => {
    const upstreams = createUpstreams(['a', 'b', 'c'].map((name) => createEntry(name)))
    prepare(upstreams)
    const chosen = preferWarm(upstreams, placeFirst, {
      isCold: ({ entry }) => cold.includes(entry.identifier), urgency: 0, latencyTarget: LATENCY_TARGET
    }, 300)
    expect(chosen?.upstream.entry.identifier).toBe(expected)
  })

  it('has no upstream without candidates', () => {
    expect(preferWarm([], placeFirst, { isCold: () => true, urgency: 0, latencyTarget: 400 }, 0)).toBeUndefined()
  })
})
