import { describe, expect, it } from 'vitest'
import { createSequentialTest, type SequentialTestOptions, type Trials } from '../sequentialTest'

// A failure adds ln 10 = 2.303, a success ln(0.5 / 0.95) = -0.642; the bounds are 9.209 and -6.908.
const RATES = { nullRate: 0.05, alternativeRate: 0.5 }

function batch (exceedances: number, trials: number): Trials {
  return { exceedances, trials, ...RATES }
}

function repeat (count: number, trials: Trials): Trials[] {
  return Array.from({ length: count }, () => trials)
}

describe('sequential test', () => {
  it.each<[string, SequentialTestOptions, Trials[], { worse: boolean, acceptances: number }]>([
    ['a decision on too little evidence', {}, repeat(3, batch(1, 1)), { worse: false, acceptances: 0 }],
    ['a bound that is too high to detect a clear fault', {}, repeat(4, batch(1, 1)), { worse: true, acceptances: 0 }],
    ['an acceptance on too few successes', {}, repeat(10, batch(0, 1)), { worse: false, acceptances: 0 }],
    ['a test that never accepts the null hypothesis', {}, repeat(11, batch(0, 1)), { worse: false, acceptances: 1 }],
    ['a false alarm at the rate of the null hypothesis', {}, repeat(100, batch(1, 20)), { worse: false, acceptances: 100 }],
    ['earlier successes that hide a late fault', {}, [...repeat(1000, batch(0, 1)), ...repeat(7, batch(1, 1))], { worse: true, acceptances: 90 }],
    ['a decision on a single burst', { largestStep: 0.45 }, [batch(100, 100)], { worse: false, acceptances: 0 }],
    ['a decision on two bursts', { largestStep: 0.45 }, repeat(2, batch(100, 100)), { worse: false, acceptances: 0 }],
    ['a limit per batch that hides a persistent fault', { largestStep: 0.45 }, repeat(3, batch(100, 100)), { worse: true, acceptances: 0 }],
    ['a verdict that later successes revoke', {}, [...repeat(4, batch(1, 1)), batch(0, 1000)], { worse: true, acceptances: 0 }],
    ['a false alarm bound that is ignored', { falseAlarm: 0.1 }, [batch(1, 1)], { worse: true, acceptances: 0 }],
    ['a miss bound that is ignored', { miss: 0.6 }, [batch(0, 1)], { worse: false, acceptances: 1 }]
  ])('guards against %s', (_, options, batches, expected) => {
    const test = createSequentialTest(options)
    for (const trials of batches) test.add([trials])
    expect({ worse: test.isWorse(), acceptances: test.acceptances() }).toEqual(expected)
  })

  // The traffic share is not increased while the evidence is above a threshold, so it must stay above it after a
  // verdict.
  it.each([[0, 0], [1, 0.25], [2, 0.5], [3, 0.75], [4, 1]])('reports the evidence after %d failures as about %d', (failures, expected) => {
    const test = createSequentialTest()
    for (const trials of repeat(failures, batch(1, 1))) test.add([trials])
    expect(test.evidence()).toBeCloseTo(expected, 2)
  })
})
