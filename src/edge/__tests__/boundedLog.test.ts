import { describe, expect, it } from 'vitest'
import { createBoundedLog } from '../boundedLog'
import { EdgeEvent } from '../events'

function createLines (): { lines: Array<Record<string, unknown>>, write: (line: string) => void } {
  const lines: Array<Record<string, unknown>> = []
  return { lines, write: (line) => { lines.push(JSON.parse(line) as Record<string, unknown>) } }
}

describe('createBoundedLog', () => {
  it('writes one JSON line per event with instance and time', () => {
    const destination = createLines()
    const { log } = createBoundedLog({ instance: 'r1', incarnation: 7, now: () => 0, wallClock: () => 12, destination })
    log(EdgeEvent.requestRejected, { requestIdentifier: 'x' })
    expect(destination.lines).toEqual([
      expect.objectContaining({ instance: 'r1', incarnation: 7, time: 12, event: 'request.refused', requestIdentifier: 'x' })
    ])
  })

  it('drops and counts lines of low-priority events first', () => {
    const destination = createLines()
    let time = 0
    const { log } = createBoundedLog({
      instance: 'r1', incarnation: 7, now: () => time, wallClock: () => 0, destination, linesPerSecond: 10
    })
    for (let index = 0; index < 20; index += 1) log(EdgeEvent.requestRouted)
    expect(destination.lines).toHaveLength(7)
    log(EdgeEvent.requestRejected)
    expect(destination.lines.at(-1)).toMatchObject({ event: 'request.refused', linesLeftOut: 13 })
    for (let index = 0; index < 20; index += 1) log(EdgeEvent.requestRejected)
    expect(destination.lines).toHaveLength(10)
    time = 1000
    log(EdgeEvent.requestRouted)
    expect(destination.lines.at(-1)).toMatchObject({ event: 'request.routed', linesLeftOut: 18 })
  })
})
