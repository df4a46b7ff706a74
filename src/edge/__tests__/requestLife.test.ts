import fc from 'fast-check'
import { describe, expect, it, vi } from 'vitest'
import { ANSWERED_CASES, LIFE_CASES } from './lifeCases'
import { findViolations, isUndisturbed, LIFE_RULES } from './lifeRules'
import { plannedArbitrary, scheduleArbitrary, type Schedule } from './lifeSchedule'
import { playSchedule, type LifeOutcome } from './lifeSimulation'

vi.mock('../upstreamCall', async (importOriginal) => ({
  ...await importOriginal<object>(),
  callUpstream: (await import('./simulatedUpstreams')).callCurrentUpstream
}))

/** Number of schedules and seed; more runs with other seeds find rarer faults. */
const RUNS = Number(process.env.REQUEST_LIFE_RUNS ?? 400)
const SEED = Number(process.env.REQUEST_LIFE_SEED ?? 41)

/** All rules are checked on the same schedules, so that each one is played once unless it is shrunk. */
const outcomes = new Map<string, LifeOutcome>()

async function playOnce (schedule: Schedule): Promise<LifeOutcome> {
  const key = JSON.stringify(schedule)
  const outcome = outcomes.get(key) ?? await playSchedule(schedule)
  if (outcomes.size < RUNS) outcomes.set(key, outcome)
  return outcome
}

describe('a request, whatever its upstreams do', () => {
  it.each(Object.entries(LIFE_RULES))('%s', async (_title, rule) => {
    await fc.assert(fc.asyncProperty(scheduleArbitrary, async (schedule) => {
      expect(findViolations(await playOnce(schedule), rule)).toEqual([])
    }), { seed: SEED, numRuns: RUNS })
  }, 60_000 + RUNS * 100)
})

describe('a request at sound upstreams', () => {
  it('gets a whole answer unless its time ends, whatever changes in the configuration', async () => {
    await fc.assert(fc.asyncProperty(plannedArbitrary, async (schedule) => {
      const outcome = await playSchedule(schedule)
      expect(findViolations(outcome, isUndisturbed)).toEqual([])
    }), { seed: SEED, numRuns: RUNS })
  }, 60_000 + RUNS * 100)
})

describe('a request keeps all rules', () => {
  it.each(LIFE_CASES)('$title', async ({ schedule }) => {
    const outcome = await playSchedule(schedule)
    const violations = Object.values(LIFE_RULES).flatMap((rule) => findViolations(outcome, rule))
    expect(violations).toEqual([])
  })
})

describe('a request is answered whole when', () => {
  it.each(ANSWERED_CASES)('$title', async ({ schedule }) => {
    const { callers } = await playSchedule(schedule)
    expect(callers.map(({ status, endings }) => [status, endings[0]?.isCut])).toEqual(callers.map(() => [200, false]))
  })
})
