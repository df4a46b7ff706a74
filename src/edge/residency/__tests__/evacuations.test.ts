import { describe, expect, it } from 'vitest'
import { createEntry } from '../../__tests__/fixtures'
import type { StoreRow } from '../../types'
import { createUpstreamDirectory } from '../../upstreamDirectory'
import { createEvacuations, type Evacuations } from '../evacuations'
import { withoutEvacuated } from '../reachableDirectory'

const VALUE = Buffer.from('{}')

const row = (key: string, value = VALUE): StoreRow => ({ key, value, version: 1 })
const removed = (key: string): StoreRow => ({ key, value: undefined, version: 2 })

function create (): Evacuations {
  return createEvacuations((key) => key.startsWith('drain-') ? key.slice('drain-'.length) : undefined)
}

describe('an evacuation', () => {
  // Guards against an evacuation that ends while its row is there, or goes on when the row is gone.
  it.each<[string, Array<['replace' | 'update', StoreRow[]]>, string[]]>([
    ['begins with its row in a complete reading', [['replace', [row('drain-north'), row('config')]]], ['north']],
    ['begins with its changed row', [['update', [row('drain-north')]]], ['north']],
    ['holds when other rows change', [
      ['update', [row('drain-north')]], ['update', [row('config'), removed('x')]]
    ], ['north']],
    ['holds with a value that cannot be read', [['update', [row('drain-north', Buffer.from([0xff]))]]], ['north']],
    ['ends when its row is removed', [['update', [row('drain-north')]], ['update', [removed('drain-north')]]], []],
    ['ends when a complete reading does not contain its row', [
      ['update', [row('drain-north')]], ['replace', [row('config')]]
    ], []],
    ['holds when a complete reading contains its row', [
      ['update', [row('drain-north')]], ['replace', [row('drain-north')]]
    ], ['north']],
    ['concerns only its data centre', [
      ['replace', [row('drain-north'), row('drain-south')]], ['update', [removed('drain-north')]]
    ], ['south']],
    ['begins again', [
      ['update', [row('drain-north')]], ['update', [removed('drain-north')]], ['update', [row('drain-north')]]
    ], ['north']]
  ])('%s', (_title, readings, expected) => {
    const evacuations = create()
    for (const [kind, rows] of readings) evacuations[kind](rows)
    expect(['north', 'south'].filter(evacuations.isEvacuated)).toEqual(expected)
    expect(evacuations.count()).toBe(expected.length)
  })

  // Guards against requests to an evacuated data centre after the store came back from a copy without the operator's row.
  it.each<[string, (evacuations: Evacuations) => void, number, boolean]>([
    ['holds while the operator writes its row again', () => {}, 9999, true],
    ['ends when the row has not come again', () => {}, 10_000, false],
    ['holds once the row is written again', (evacuations) => { evacuations.update([row('drain-north')]) }, 60_000, true],
    ['holds in a later reading within that time', (evacuations) => { evacuations.replace([]) }, 9999, true],
    ['ends when the operator removes the row', (evacuations) => { evacuations.update([removed('drain-north')]) }, 1, false]
  ])('that a restored store lacks %s', (_title, act, at, expected) => {
    const evacuations = create()
    evacuations.replace([row('drain-north')])
    evacuations.replace([], 0)
    act(evacuations)
    evacuations.expire(at)
    expect(evacuations.isEvacuated('north')).toBe(expected)
  })

  it('is reported once when it begins and once when it ends', () => {
    const evacuations = create()
    expect(evacuations.replace([row('drain-north')])).toEqual([{ dataCentre: 'north', isEvacuated: true }])
    expect(evacuations.update([row('drain-north')])).toEqual([])
    expect(evacuations.replace([row('drain-north')])).toEqual([])
    expect(evacuations.replace([])).toEqual([{ dataCentre: 'north', isEvacuated: false }])
    expect(evacuations.update([removed('drain-north')])).toEqual([])
  })

  it('hides the upstreams of its data centre from commands to load weights', () => {
    const directory = createUpstreamDirectory()
    directory.replace([createEntry('a'), createEntry('b', { dataCentre: 'south' })], false, 0)
    const reachable = withoutEvacuated(directory, (dataCentre) => dataCentre === 'north')
    expect([...reachable.all()].map(({ entry }) => entry.identifier)).toEqual(['b'])
    expect([reachable.get('a'), reachable.get('b')]).toEqual([undefined, directory.get('b')])
  })
})
