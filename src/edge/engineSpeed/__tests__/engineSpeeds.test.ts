import { describe, expect, it } from 'vitest'
import { createEntry } from '../../__tests__/fixtures'
import { recordUseStart } from '../../engineRoom/engineUse'
import { createUpstreamDirectory, recordFleetLoad, type UpstreamDirectory } from '../../upstreamDirectory'
import { createEngineSpeeds, type EngineSpeeds } from '../engineSpeeds'

function createFleetView (speeds: readonly number[]): { directory: UpstreamDirectory, engineSpeeds: EngineSpeeds } {
  const directory = createUpstreamDirectory()
  directory.replace(speeds.map((_speed, index) => createEntry(`engine-${index}`)), false, 0)
  const engineSpeeds = createEngineSpeeds({ directory, dataCentre: 'north' })
  for (const [index, speed] of speeds.entries()) {
    const upstream = directory.get(`engine-${index}`)!
    recordFleetLoad(upstream, 0, 0)
    if (speed === 0) continue
    for (let count = 0; count < 10; count += 1) engineSpeeds.observe(upstream, { tokens: 2890 }, speed * 2.89)
  }
  return { directory, engineSpeeds }
}

describe('the learned speeds of a service', () => {
  it.each<[string, number[], number | undefined]>([
    ['nothing is known', [0, 0, 0, 0], undefined],
    ['the engines are as fast as the constant', [8, 8, 8, 8], undefined],
    ['they differ from it by less than a quarter', [7, 8, 9, 9.9], undefined],
    ['one is much slower', [8, 8, 8, 13], 8],
    ['all are slower', [27, 27, 27, 27], 27],
    ['too few are known', [0, 0, 0, 0, 0, 0, 0, 0, 27], undefined]
  ])('replace the constant or not when %s', (_title, speeds, median) => {
    expect(createFleetView(speeds).engineSpeeds.ofService('engines', 0)?.median).toBe(median)
  })

  it('are the median for an engine with too few samples', () => {
    const { directory, engineSpeeds } = createFleetView([27, 20, 40, 0])
    expect(engineSpeeds.ofService('engines', 0)!.of(directory.get('engine-3')!)).toBe(27)
  })

  it('are forgotten with the run of an engine', () => {
    const { directory, engineSpeeds } = createFleetView([27, 20, 40])
    directory.update(createEntry('engine-2', { startedAt: 2 }))
    expect(engineSpeeds.ofService('engines', 0)!.of(directory.get('engine-2')!)).toBe(27)
  })

  it('give no engine more than twice the prompts of the median one', () => {
    const { directory, engineSpeeds } = createFleetView([27, 1, 27, 500, 27])
    const relative = [0, 1, 3].map((index) => engineSpeeds.ofService('engines', 0)!.relative(directory.get(`engine-${index}`)!))
    expect(relative).toEqual([1, 2, 0.5])
  })

  it('reach another instance as samples and as estimates', () => {
    const sender = createFleetView([27, 20, 40])
    for (const receive of [
      (receiver: EngineSpeeds) => { receiver.receiveSamples(sender.engineSpeeds.takeSamples(), 0) },
      (receiver: EngineSpeeds) => { receiver.receiveEstimates(sender.engineSpeeds.encodeEstimates(), 0) }
    ]) {
      const receiver = createFleetView([0, 0, 0]).engineSpeeds
      receive(receiver)
      expect(receiver.ofService('engines', 0)!.median).toBeCloseTo(27, 1)
    }
  })
})

describe('a prompt shows the speed of its engine', () => {
  it.each<[string, number, number | undefined, number, boolean]>([
    ['without a queue', 0, 2890, 0, true],
    ['behind a short queue', 5000, 2890, 0, true],
    ['not behind a long queue', 20_000, 2890, 0, false],
    ['not while it is not known what is cached', 0, undefined, 0, false],
    ['not while the load of the fleet is not known', 0, 2890, 400, false]
  ])('%s', (_title, ahead, uncached, now, expected) => {
    const { directory, engineSpeeds } = createFleetView([9])
    const upstream = directory.get('engine-0')!
    recordUseStart(upstream, ahead, ahead)
    expect(engineSpeeds.probe(upstream, uncached, now) !== undefined).toBe(expected)
  })

  it('apart from the fixed time that short prompts show', () => {
    const { directory, engineSpeeds } = createFleetView([0])
    const upstream = directory.get('engine-0')!
    for (let count = 0; count < 200; count += 1) engineSpeeds.observe(upstream, { tokens: 500 }, 20 + 4)
    for (let count = 0; count < 10; count += 1) engineSpeeds.observe(upstream, { tokens: 2890 }, 20 + 8 * 2.89)
    expect(upstream.speed.milliseconds).toBeCloseTo(8, 0)
  })
})
