import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { FleetOptions } from '../../../experiments/quota/fleet'
import { FLOOR_FRACTION } from '../ledger'
import { faultyVariants, withFloorFraction } from './faultyVariants'
import { clockRates, commandArbitraries, runTrial } from './fleetCommands'

/** The runs take a few seconds; the timeout allows for a busy machine. */
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
  it.each([FLOOR_FRACTION, 0.5])(
    'admits at most rate * window + burst in every window under failures, with floor fraction %d',
    async (floorPart) => {
      await fc.assert(boundHolds(withFloorFraction(floorPart)), { seed: 20261204, numRuns: 40, endOnFailure: true })
    },
    TIME_LIMIT_MS
  )

  // Proves that the property can fail: it must detect each mechanism that is disabled. The seeds were selected to
  // detect the fault within a few runs.
  it.each([
    ['no correction for clock drift', 3],
    ['ignores lease expiry at admission', 2],
    ['refunds without the refundable pool', 4],
    ['lender does not deduct loans', 2],
    ['reclaims grants of instances absent from the instance list', 3],
    ['reuses grants of an ended process immediately', 4]
  ])('detects the fault: %s', async (name, seed) => {
    const { errorInstance } = await fc.check(
      boundHolds(faultyVariants[name]), { seed, numRuns: 50, endOnFailure: true }
    )
    // Only a window that exceeds the bound counts as detection, not an exception thrown by the model.
    expect(String(errorInstance)).toContain('to be undefined')
  }, TIME_LIMIT_MS)
})
