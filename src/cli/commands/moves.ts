/** `moves`: rollouts as they stand in the platform's table. */
import { readCurrentConfiguration } from '../../configuration/apply'
import { PlatformTable } from '../../constants'
import type { CommandFunction } from '../context'
import { noFurtherArguments } from '../input'
import { formatTable, formatTime } from '../output'
import { reportRollouts } from '../../rollout/report'
import type { RolloutRecord } from '../../rollout/types'

export const runMoves: CommandFunction = async (input) => {
  noFurtherArguments(input, 0)
  const platform = input.platform()
  const current = await readCurrentConfiguration(platform)
  const rows = await platform.readTable<RolloutRecord>(PlatformTable.rollout)
  const reports = reportRollouts(rows.map(row => row.value), current?.configuration.models, input.context.wallClock())
  const cells = reports.map((report) => [
    report.model, report.state, report.fromVersion, report.toVersion, report.phase,
    report.share === undefined ? undefined : `${report.share * 100}%`,
    report.reason === undefined ? undefined : report.reason + (report.route === undefined ? '' : ` on ${report.route}`),
    formatTime(report.finishBy),
    report.finishBy === undefined ? '-' : report.deadlineMissed === undefined ? 'unknown' : report.deadlineMissed ? 'missed' : 'not missed'
  ])
  const headings = ['MODEL', 'STATE', 'FROM', 'TO', 'PHASE', 'SHARE', 'REASON', 'FINISH BY', 'DEADLINE']
  return { data: reports, text: reports.length === 0 ? 'no models\n' : formatTable(headings, cells) }
}
