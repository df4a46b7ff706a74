import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { LogEvent } from '../events'
import { createHybridClock } from '../hybridClock'
import { createEventLog } from '../log'

function createRecordingLog (): { lines: string[], handle: ReturnType<typeof createEventLog> } {
  const lines: string[] = []
  const handle = createEventLog({
    instance: 'a', incarnation: 7, clock: createHybridClock(), destination: { write: (text) => { lines.push(text) } }
  })
  return { lines, handle }
}

describe('createEventLog', () => {
  it('writes the event, instance, incarnation, hybrid clock and wall-clock time', () => {
    const { lines, handle } = createRecordingLog()
    handle.log(LogEvent.requestRouted, { requestIdentifier: 'r' })
    expect(JSON.parse(lines[0] as string)).toMatchObject({
      event: 'request.routed',
      instance: 'a',
      incarnation: 7,
      requestIdentifier: 'r',
      level: 'info',
      clock: expect.stringMatching(/^\d{14}\.\d{6}$/),
      time: expect.any(Number)
    })
  })

  // Guards against logging a caller's key as part of a header, an error message or a path.
  it('never writes a registered key or a credential field', () => {
    const keyText = fc.string({ unit: fc.constantFrom(...'abcXYZ019_-'), minLength: 20, maxLength: 200 })
    fc.assert(fc.property(keyText, fc.constantFrom('', '?a=1&token=', 'bad header "Bearer ', '/v1/'), (key, before) => {
      const { lines, handle } = createRecordingLog()
      handle.registerKey(key)
      handle.log(LogEvent.requestFailed, { message: `${before}${key}"`, nested: { list: [`${before}${key}`] } })
      expect(lines[0]).not.toContain(key)
    }))
    const { lines, handle } = createRecordingLog()
    handle.log(LogEvent.requestFailed, { authorization: 'Bearer one', headers: { cookie: 'two', 'x-api-key': 'three' } })
    expect(lines[0]).not.toMatch(/one|two|three/)
  })
})
