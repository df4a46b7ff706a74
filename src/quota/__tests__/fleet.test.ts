import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { FleetOptions } from '../../../experiments/quota/fleet'
import { FLOOR_PART } from '../ledger'
import { brokenModels, withFloor } from './brokenModels'
import { clockRates, commandArbitraries, runTrial } from './fleetCommands'

/** The runs take a few seconds; the limit leaves room for a busy machine. */
const TIME_LIMIT_MS = 120_000

function boundHolds (replace?: FleetOptions['replace']) {
  return fc.asyncProperty(
    fc.commands(commandArbitraries, { size: '+1', maxCommands: 30 }), fc.nat(1e6), clockRates,
    async (commands, seed, rates) => {
      expect(await runTrial(commands, seed, rates, replace)).toBeUndefined()
    }
  )
}

describe('quota of a fleet', () => {
  it.each([FLOOR_PART, 0.5])('admits at most rate * window + burst in every window under failures, floor %d', async (floorPart) => {
    await fc.assert(boundHolds(withFloor(floorPart)), { seed: 20261204, numRuns: 40, endOnFailure: true })
  }, TIME_LIMIT_MS)

  // The check is known to be able to fail: each mechanism that is switched off is found by the same property. The seeds
  // are ones that find it within a few runs.
  it.each([
    ['no correction for drift', 3],
    ['leases not checked at admission', 2],
    ['refunds without the refundable pool', 4],
    ['lender does not deduct', 2],
    ['absence from the instance list as evidence', 3],
    ['grants of an ended process reused at once', 4]
  ])('finds the fault: %s', async (name, seed) => {
    const { errorInstance } = await fc.check(boundHolds(brokenModels[name]), { seed, numRuns: 50, endOnFailure: true })
    // Only an exceeded window counts, not an exception of the model.
    expect(String(errorInstance)).toContain('to be undefined')
  }, TIME_LIMIT_MS)
})
