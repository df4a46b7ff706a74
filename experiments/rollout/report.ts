/** Text table and HTML sections of `bad-version`. */
import Table from 'cli-table3'
import { heading, page, renderTable } from '../report'
import { spread, TABLE_STYLE } from '../summary'
import { GOOD } from './run'
import type { RolloutResult } from './run'
import type { RolloutRow } from './summary'

const HEAD = ['preset', 'policy', 'version', 'harmed', 's to rollback', 'rolled back', 'finished in time']

function cellsOf (row: RolloutRow): string[] {
  return [
    row.preset, row.policy, row.version, spread(row.harmedShare, 4),
    row.secondsToRollback === null ? '-' : spread(row.secondsToRollback, 0),
    `${row.rolledBack} of ${row.seeds}`, row.version === GOOD ? `${row.finishedInTime} of ${row.seeds}` : '-'
  ]
}

export function formatRollouts (rows: readonly RolloutRow[]): string {
  const table = new Table({ head: HEAD, ...TABLE_STYLE })
  for (const row of rows) table.push(cellsOf(row))
  return table.toString()
}

export function renderRollouts (rows: readonly RolloutRow[]): string[] {
  return rows.length === 0 ? [] : [heading('Rollouts of bad and good versions'), renderTable(HEAD, rows.map(cellsOf))]
}

export function renderRollout (result: RolloutResult): string {
  const title = `${result.preset}, ${result.scenario}, ${result.policy}, seed ${result.seed}`
  return page(title, [renderTable(
    ['version', 'requests', 'harmed', 'harmed share', 's to rollback', 'rolled back', 'finished in time'],
    result.versions.map(version => [
      version.version, String(version.requests), String(version.harmed), version.harmedShare.toFixed(4),
      String(version.secondsToRollback ?? '-'), String(version.rolledBack), String(version.finishedInTime ?? '-')
    ])
  )])
}
