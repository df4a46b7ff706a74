/** Medians and ranges over seeds, the table of policies by scenario, and the comparison with the targets. */
import Table from 'cli-table3'
import { percentile, worstMeanTtftOf, worstServedOf } from './model/figures'
import type { CustomerCounts, RunFigures } from './model/figures'
import type { RunResult } from './model/run'

export type FigureName = Exclude<keyof RunFigures, 'timeline' | 'customers'>

export interface Spread {
  median: number
  lowest: number
  highest: number
}

/** One line of the table: a policy in a scenario of a preset. */
export interface SummaryRow {
  preset: string
  scenario: string
  policy: string
  seeds: number
  figures: Record<FigureName, Spread>
  /**
   * As `worstServed` and `worstMeanTtft`, with each customer's requests of all seeds taken together. A customer has about
   * 100 requests in a run, so the worst of five means of one run is some 10% above the mean by chance alone.
   */
  pooledWorstServed: number
  pooledWorstMeanTtft: number
}

export interface TargetResult {
  preset: string
  scenario: string
  target: string
  value: number
  bound: string
  met: boolean
}

/** Without lines between the rows, so that the table of all policies fits on some screens. */
export const TABLE_STYLE = {
  style: { head: [], border: [] }, chars: { mid: '', 'left-mid': '', 'mid-mid': '', 'right-mid': '' }
}

const FIGURE_NAMES: readonly FigureName[] = [
  'requests', 'hitRate', 'p50', 'p95', 'p99', 'wastedTokens', 'wastedShare', 'worstServed', 'worstMeanTtft', 'refusedShare'
]

export function summarize (results: readonly RunResult[]): SummaryRow[] {
  const groups = new Map<string, RunResult[]>()
  for (const result of results) {
    const name = `${result.preset}/${result.scenario}/${result.policy}`
    groups.set(name, [...groups.get(name) ?? [], result])
  }
  return [...groups.values()].map(group => ({
    pooledWorstServed: worstServedOf(poolCustomers(group)),
    pooledWorstMeanTtft: worstMeanTtftOf(poolCustomers(group)),
    preset: group[0]!.preset,
    scenario: group[0]!.scenario,
    policy: group[0]!.policy,
    seeds: group.length,
    figures: Object.fromEntries(FIGURE_NAMES.map(name => {
      const values = group.map(({ figures }) => figures[name])
      return [name, { median: percentile(values, 0.5), lowest: Math.min(...values), highest: Math.max(...values) }]
    })) as Record<FigureName, Spread>
  }))
}

function poolCustomers (results: readonly RunResult[]): Record<string, CustomerCounts> {
  const pooled: Record<string, CustomerCounts> = {}
  for (const { figures } of results) {
    for (const [customer, counts] of Object.entries(figures.customers)) {
      const sum = pooled[customer] ??= { requests: 0, served: 0, answered: 0, milliseconds: 0 }
      sum.requests += counts.requests
      sum.served += counts.served
      sum.answered += counts.answered
      sum.milliseconds += counts.milliseconds
    }
  }
  return pooled
}

/** Targets of design 2.2 that this model can measure, for the policy `waxwingspoke`. */
export function checkTargets (rows: readonly SummaryRow[]): TargetResult[] {
  const find = (preset: string, scenario: string, policy: string): SummaryRow | undefined =>
    rows.find(row => row.preset === preset && row.scenario === scenario && row.policy === policy)
  return rows.filter(({ policy }) => policy === 'waxwingspoke').flatMap(own => {
    const { preset, scenario, figures } = own
    const oracle = find(preset, scenario, 'oracle')
    const leastLoaded = find(preset, scenario, 'least-loaded')
    const checks: TargetResult[] = []
    const check = (target: string, value: number, bound: number, atMost: boolean): void => {
      const met = atMost ? value <= bound : value >= bound
      checks.push({ preset, scenario, target, value, bound: `${atMost ? '<=' : '>='} ${bound}`, met })
    }
    if (oracle !== undefined) {
      check('hit rate against oracle', figures.hitRate.median / oracle.figures.hitRate.median, 0.95, false)
    }
    if (scenario === 'rush' && leastLoaded !== undefined) {
      check('p99 TTFT against least-loaded', figures.p99.median / leastLoaded.figures.p99.median, 0.5, true)
    }
    if (scenario === 'crowding') {
      check('worst-served customer, served in time', figures.worstServed.median, 0.9, false)
      check('worst-served customer, mean TTFT', figures.worstMeanTtft.median, 1.1, true)
      check('worst-served customer, served in time, all seeds', own.pooledWorstServed, 0.9, false)
      check('worst-served customer, mean TTFT, all seeds', own.pooledWorstMeanTtft, 1.1, true)
    }
    check('refusals inside the rate', figures.refusedShare.median, 0.001, true)
    return checks
  })
}

export function formatTable (rows: readonly SummaryRow[]): string {
  const table = new Table({
    head: [
      'preset', 'scenario', 'policy', 'hit rate', 'TTFT p50 ms', 'p95 ms', 'p99 ms', 'wasted', 'worst served',
      'worst mean TTFT', 'refused'
    ],
    ...TABLE_STYLE
  })
  for (const { preset, scenario, policy, figures } of rows) {
    table.push([
      preset, scenario, policy, spread(figures.hitRate, 3), spread(figures.p50, 0), spread(figures.p95, 0),
      spread(figures.p99, 0), spread(figures.wastedShare, 3), spread(figures.worstServed, 3),
      spread(figures.worstMeanTtft, 2), spread(figures.refusedShare, 4)
    ])
  }
  return table.toString()
}

export function formatTargets (targets: readonly TargetResult[]): string {
  const table = new Table({
    head: ['preset', 'scenario', 'target', 'measured', 'bound', 'result'], ...TABLE_STYLE
  })
  for (const { preset, scenario, target, value, bound, met } of targets) {
    table.push([preset, scenario, target, value.toFixed(4), bound, met ? 'met' : 'missed'])
  }
  return table.toString()
}

export function spread ({ median, lowest, highest }: Spread, digits: number): string {
  return `${median.toFixed(digits)} (${lowest.toFixed(digits)}-${highest.toFixed(digits)})`
}
