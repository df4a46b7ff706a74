import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CRASH_LIMIT, CRASH_MEMORY_MS } from '../../constants'
import { createCrashLedger } from '../crashLedger'

describe('crash ledger', () => {
  it('rejects a crashing request on every instance after two crashes and forgets it after ten minutes', () => {
    const [local, remote] = [createCrashLedger(), createCrashLedger()]
    for (const [upstream, at] of [['a', 0], ['b', 100]] as const) {
      expect(local.verdict('poison', at).kind).not.toBe('refused')
      local.started('poison', upstream, 1)
      for (const notice of local.upstreamDied(upstream, 1, at)) remote.applyNotice(notice, at)
    }
    expect(remote.verdict('poison', 200)).toEqual({ kind: 'refused', retryAfterMilliseconds: CRASH_MEMORY_MS - 100 })
    expect(local.verdict('poison', 200).kind).toBe('refused')
    expect(remote.verdict('poison', 101 + CRASH_MEMORY_MS).kind).toBe('clear')
  })

  it('counts a crash once even if it is reported repeatedly', () => {
    const ledger = createCrashLedger()
    ledger.started('f', 'a', 1)
    const [notice] = ledger.upstreamDied('a', 1, 0)
    expect([ledger.upstreamDied('a', 1, 1), ledger.applyNotice(notice!, 2)]).toEqual([[], false])
    expect(ledger.verdict('f', 3).kind).toBe('suspect')
  })

  it('clears a long unrelated stream that progressed past the crash, and keeps suspects on separate upstreams', () => {
    const ledger = createCrashLedger()
    const [poison, innocent] = [ledger.started('poison', 'a', 1), ledger.started('innocent', 'a', 1)]
    innocent.progressed(500)
    ledger.upstreamDied('a', 1, 0)
    for (const handle of [poison, innocent]) handle.ended(false)
    const resumed = ledger.started('innocent', 'b', 1)
    expect(ledger.verdict('poison', 1)).toEqual({ kind: 'suspect', avoid: ['b'] })
    resumed.progressed(531)
    expect(ledger.verdict('innocent', 1).kind).toBe('suspect')
    resumed.progressed(532)
    expect(ledger.verdict('innocent', 1).kind).toBe('clear')
  })

  it('bounds the number of stored fingerprints', () => {
    const ledger = createCrashLedger({ maximumFingerprints: 3 })
    for (let index = 0; index < 10; index += 1) ledger.started(`f${index}`, 'a', 1)
    ledger.upstreamDied('a', 1, 0)
    expect(ledger.notices(1)).toHaveLength(3)
  })

  it('limits a request that crashes every upstream to two crashes, even if notices are duplicated', () => {
    const step = fc.record({ instance: fc.nat(2), duplicated: fc.boolean(), bystanders: fc.nat(3) })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const ledgers = [createCrashLedger(), createCrashLedger(), createCrashLedger()]
      let lost = 0
      for (const [now, { instance, duplicated, bystanders }] of steps.entries()) {
        const ledger = ledgers[instance]!
        if (ledger.verdict('poison', now).kind === 'refused') continue
        lost += 1
        const upstream = `u${now}`
        ledger.started('poison', upstream, 1)
        for (let index = 0; index < bystanders; index += 1) ledger.started(`b${now}-${index}`, upstream, 1)
        const notices = ledger.upstreamDied(upstream, 1, now)
        const sent = duplicated ? [...notices, ...notices] : notices
        for (const peer of ledgers) for (const notice of sent) peer.applyNotice(notice, now)
      }
      expect(lost).toBeLessThanOrEqual(CRASH_LIMIT)
    }))
  })
})
