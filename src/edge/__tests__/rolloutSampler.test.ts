import { describe, expect, it } from 'vitest'
import { createRolloutSampler, NEW_VERSION, OLD_VERSION } from '../rolloutSampler'

const OLD = { service: 'engines', route: 'chat', isNew: false, failed: false, firstByte: 100 }

describe('rollout samples', () => {
  it.each([
    ['as fast as the old version', 110, 0, 0],
    ['four times as slow', 400, 1, 0],
    ['eight times as slow', 800, 1, 1]
  ])('%s', (_title, firstByte, slow, verySlow) => {
    const sampler = createRolloutSampler()
    for (let count = 0; count < 20; count += 1) sampler.record(OLD)
    sampler.record({ ...OLD, isNew: true, firstByte })
    const sample = sampler.drain('engines').find(({ version }) => version === NEW_VERSION)
    expect(sample).toMatchObject({ requests: 1, failures: 0, firstTokens: 1 })
    expect(sample).toMatchObject({ slowFirstTokens: slow, verySlowFirstTokens: verySlow })
  })

  it('count failures by version and are reset by each drain', () => {
    const sampler = createRolloutSampler()
    sampler.record({ ...OLD, failed: true, firstByte: undefined })
    sampler.record({ ...OLD, service: 'orders' })
    expect(sampler.drain('engines')).toEqual([
      expect.objectContaining({ version: OLD_VERSION, route: 'chat', requests: 1, failures: 1, firstTokens: 0 })
    ])
    expect(sampler.drain('engines')).toEqual([])
    expect(sampler.drain('orders')).toHaveLength(1)
  })
})
