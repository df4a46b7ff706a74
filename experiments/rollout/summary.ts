/** Figures of `bad-version` over seeds, and their comparison with the targets of design 2.2. */
import { percentile } from '../model/figures'
import type { Spread, TargetResult } from '../summary'
import { BAD_VERSION, GOOD } from './run'
import type { RolloutRequest, RolloutResult } from './run'

/** The target for good versions is stated for 200 seeds, ten times the default of a table line. */
export const GOOD_SEEDS_FACTOR = 10
const HARM_BOUND = 0.02

export interface RolloutRow {
  preset: string
  policy: string
  version: string
  seeds: number
  harmedShare: Spread
  rolledBack: number
  /** Seeds in which the fault harmed a request. */
  affected: number
  /** Over the seeds with a rollback after an effect; null when there is none. */
  secondsToRollback: Spread | null
  finishedInTime: number
}

export function rolloutRequests (preset: string, policies: readonly string[], seeds: number): RolloutRequest[] {
  return policies.flatMap(policy => {
    const count = policy === 'waxwingspoke' ? seeds * GOOD_SEEDS_FACTOR : seeds
    return Array.from({ length: count }, (_, index) =>
      ({ preset, scenario: BAD_VERSION, policy, seed: index + 1, goodOnly: index >= seeds }))
  })
}

export function summarizeRollouts (results: readonly RolloutResult[]): RolloutRow[] {
  const groups = new Map<string, Array<RolloutResult['versions'][number]>>()
  for (const { preset, policy, versions } of results) {
    for (const result of versions) {
      const key = `${preset}/${policy}/${result.version}`
      groups.set(key, [...groups.get(key) ?? [], result])
    }
  }
  return [...groups].map(([key, members]) => {
    const [preset, policy, version] = key.split('/')
    const delays = members.map(member => member.secondsToRollback).filter(seconds => seconds !== null)
    return {
      preset: preset!,
      policy: policy!,
      version: version!,
      seeds: members.length,
      harmedShare: spreadOf(members.map(member => member.harmedShare)),
      rolledBack: members.filter(member => member.rolledBack).length,
      affected: members.filter(member => member.harmed > 0).length,
      secondsToRollback: delays.length === 0 ? null : spreadOf(delays),
      finishedInTime: members.filter(member => member.finishedInTime === true).length
    }
  })
}

function spreadOf (values: readonly number[]): Spread {
  return { median: percentile(values, 0.5), lowest: Math.min(...values), highest: Math.max(...values) }
}

/** Compares the worst seed, not the median, with the bound for harm. */
export function checkRolloutTargets (rows: readonly RolloutRow[]): TargetResult[] {
  return rows.filter(({ policy }) => policy === 'waxwingspoke').flatMap(row => {
    const check = (target: string, value: number, bound: string, met: boolean): TargetResult =>
      ({ preset: row.preset, scenario: BAD_VERSION, target, value, bound, met })
    if (row.version === GOOD) {
      const late = row.seeds - row.finishedInTime
      return [
        check(`good versions rolled back, ${row.seeds} seeds`, row.rolledBack, '<= 0', row.rolledBack === 0),
        check(`good versions not finished in time, ${row.seeds} seeds`, late, '<= 0', late === 0)
      ]
    }
    const { highest } = row.harmedShare
    return [
      check(`${row.version}: harmed, worst seed`, highest, `< ${HARM_BOUND}`, highest < HARM_BOUND),
      check(`${row.version}: seeds without rollback`, row.seeds - row.rolledBack, '<= 0', row.rolledBack === row.seeds)
    ]
  })
}
