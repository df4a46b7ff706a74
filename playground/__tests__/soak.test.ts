import { describe, expect, it } from 'vitest'
import { SOAK_FAULTS } from '../soak/faults'
import { runSoak } from '../soak/run'

describe('a short soak', () => {
  it('keeps all promises under the faults of one seed', async () => {
    const { violations, served, logs } = await runSoak({ seed: 1, seconds: 4, faults: Object.keys(SOAK_FAULTS) })
    if (violations.length > 0) for (const [identity, text] of logs) process.stdout.write(`${identity}\n${text.slice(-20_000)}\n`)
    expect(violations).toEqual([])
    expect(served).toBeGreaterThan(0)
  }, 120_000)
})
