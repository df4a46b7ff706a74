/** Tests the codec of the peer protocol: round trips and invalid input. */
import { Encoder } from 'cbor-x'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { PeerProtocolError } from '../../errors'
import { RollbackReason, RolloutPhase } from '../../rollout/types'
import { createFrameReader, decodeBody, encodeFrame, FRAME_LIMIT } from '../frames'
import type { PeerMessage, PeerMessageKind } from '../messages'

const name = fc.string({ maxLength: 40 })
const count = fc.nat({ max: Number.MAX_SAFE_INTEGER })
const amount = fc.double({ min: 0, max: 1e15, noNaN: true }).map((value) => value + 0)
const wallClock = fc.integer({ min: 0, max: 4e12 })
const optional = <Value>(arbitrary: fc.Arbitrary<Value>) => fc.option(arbitrary, { nil: undefined })
const endpoint = fc.record({ host: name, port: fc.integer({ min: 0, max: 65_535 }) })
const state = fc.constantFrom('granted' as const, 'withdrawn' as const)
const key = fc.record({ hash: name, customer: name, state, version: count })
const kind = fc.constant('crashNotice' as const)
const crash = fc.record({ kind, fingerprint: name, upstream: name, incarnation: wallClock, age: amount })
const record = fc.record({
  model: name,
  revision: count,
  fromVersion: optional(name),
  toVersion: name,
  phase: fc.constantFrom(...Object.values(RolloutPhase)),
  share: fc.double({ min: 0, max: 1, noNaN: true }),
  fencingToken: count,
  step: count,
  leader: name,
  finishBy: optional(wallClock),
  startedAt: wallClock,
  phaseSince: wallClock,
  reason: optional(fc.constantFrom(...Object.values(RollbackReason))),
  reasonRoute: optional(name),
  deadlineMissed: fc.boolean()
})
const sample = fc.record({
  model: name,
  version: name,
  route: name,
  requests: count,
  failures: count,
  firstTokens: count,
  betweenTokens: count,
  slowFirstTokens: count,
  slowTokens: count,
  verySlowFirstTokens: count,
  verySlowTokens: count,
  firstTokenMilliseconds: amount,
  betweenTokensMilliseconds: amount,
  braked: fc.boolean()
})
const listed = fc.record({
  name,
  kind: fc.constantFrom('router' as const, 'engine' as const, 'service' as const),
  dataCentre: name,
  endpoint,
  peerEndpoint: optional(endpoint),
  state: fc.constantFrom('live' as const, 'leaving' as const),
  service: optional(name)
})
const configuration = fc.record({
  revision: count,
  configuration: fc.record({
    dataCentres: fc.array(fc.record({ name, weight: amount })),
    customers: fc.array(fc.record({ name, rate: amount, burst: amount, weight: amount })),
    models: fc.array(fc.record({
      name,
      version: name,
      finishBy: optional(wallClock),
      maximumOutputTokens: count,
      parallelLoads: count
    })),
    routes: fc.array(fc.record({
      name,
      path: name,
      service: name,
      methods: fc.array(name),
      idempotentMethods: fc.array(name),
      open: fc.boolean(),
      cost: amount
    }))
  })
})
const loan = { identifier: name, customer: name, rate: amount, capacity: amount, tokens: amount, duration: amount }
/** Excludes `__proto__`, which the decoder renames to prevent prototype pollution. */
const upstreamName = name.filter((text) => text !== '__proto__')

const messages: Record<PeerMessageKind, fc.Arbitrary<PeerMessage>> = {
  greeting: fc.record({
    kind: fc.constant('greeting'),
    protocol: count,
    instance: fc.string({ minLength: 1, maxLength: 40 }),
    incarnation: wallClock,
    dataCentre: name,
    endpoint
  }),
  heartbeat: fc.record({
    kind: fc.constant('heartbeat'),
    state: fc.constantFrom('live', 'leaving'),
    revision: count,
    keyVersion: count,
    work: fc.dictionary(upstreamName, amount, { noNullPrototype: true }),
    clock: name
  }),
  snapshotRequest: fc.record({ kind: fc.constant('snapshotRequest'), identifier: count }),
  snapshotReply: fc.record({
    kind: fc.constant('snapshotReply'),
    identifier: count,
    configuration: optional(configuration),
    keys: fc.array(key),
    crashes: fc.array(crash),
    rollouts: fc.array(record),
    instances: optional(fc.record({ instances: fc.array(listed), asOf: wallClock }))
  }),
  configurationNotice: fc.record({ kind: fc.constant('configurationNotice'), configuration }),
  keyNotice: fc.record({ kind: fc.constant('keyNotice'), keys: fc.array(key) }),
  crashNotice: crash,
  loanRequest: fc.record({
    kind: fc.constant('loanRequest'), ...loan, renews: optional(name), surplusOnly: optional(fc.boolean())
  }),
  loanReply: fc.record({ kind: fc.constant('loanReply'), ...loan }),
  rolloutSample: fc.record({ kind: fc.constant('rolloutSample'), samples: fc.array(sample) }),
  rolloutNotice: fc.record({ kind: fc.constant('rolloutNotice'), record })
}
const anyMessage = fc.oneof(...Object.values(messages))

function manyEntries (length: number): Record<string, string> {
  return Object.fromEntries(Array.from({ length }, (_, index) => [`k${index}`, 'x']))
}

describe('a frame', () => {
  it.each(Object.entries(messages))('of kind %s decodes to the message that was encoded', (_, arbitrary) => {
    fc.assert(fc.property(arbitrary, (message) => {
      expect(createFrameReader().push(encodeFrame(message))).toEqual([message])
    }))
  })

  it('is decoded regardless of how the bytes are split', () => {
    const frames = fc.array(anyMessage, { maxLength: 5 })
    fc.assert(fc.property(frames, fc.array(fc.integer({ min: 1, max: 400 })), (sent, sizes) => {
      const bytes = Buffer.concat(sent.map(encodeFrame))
      const reader = createFrameReader()
      const received: PeerMessage[] = []
      let position = 0
      for (const size of [...sizes, bytes.length]) {
        received.push(...reader.push(bytes.subarray(position, position + size)))
        position += size
      }
      expect(received).toEqual(sent)
      expect(reader.pendingBytes()).toBe(0)
    }))
  })

  it('with arbitrary content decodes to a valid message or throws PeerProtocolError, never another error', () => {
    // A valid frame with one changed byte exercises more of the decoder than random bytes do.
    const damaged = fc.tuple(anyMessage, fc.nat(), fc.nat(255)).map(([message, at, byte]) => {
      const body = Buffer.from(encodeFrame(message).subarray(4))
      body[at % body.length] = byte
      return body
    })
    const bodies = fc.oneof(fc.uint8Array({ maxLength: 200 }), damaged)
    fc.assert(fc.property(bodies, (body) => {
      try {
        expect(Object.keys(messages)).toContain(decodeBody(body).kind)
      } catch (error) {
        expect(error).toBeInstanceOf(PeerProtocolError)
      }
    }), { numRuns: 2000 })
  })

  it('with a length above the limit is rejected before its body arrives', () => {
    const header = Buffer.alloc(4)
    header.writeUInt32BE(FRAME_LIMIT + 1)
    expect(() => createFrameReader().push(header)).toThrow(PeerProtocolError)
  })

  it('above the limit is rejected by the encoder', () => {
    const granted = { hash: 'x'.repeat(64), customer: 'c', state: 'granted' as const, version: 1 }
    const keys = Array.from({ length: 20_000 }, () => granted)
    expect(() => encodeFrame({ kind: 'keyNotice', keys })).toThrow(PeerProtocolError)
  })

  it.each([
    ['list items', { kind: 'keyNotice', keys: Array(1_000_000).fill(0) }],
    ['entries', { kind: 'heartbeat', state: 'live', revision: 1, keyVersion: 1, clock: '', work: manyEntries(100_000) }]
  ])('with many invalid %s is rejected at the first one, so that it does not block the event loop', (_, value) => {
    const body = new Encoder({ useRecords: false }).encode(value)
    const startedAt = performance.now()
    expect(() => decodeBody(body)).toThrow(PeerProtocolError)
    expect(performance.now() - startedAt).toBeLessThan(1000)
  })

  it('with deep nesting is rejected without a stack overflow', () => {
    expect(() => decodeBody(Buffer.alloc(500_000, 0x81))).toThrow(PeerProtocolError)
  })
})
