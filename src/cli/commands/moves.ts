/** `moves`: reports rollouts from the platform's table, or as seen by instances while the platform is unavailable. */
import { readCurrentConfiguration } from '../../configuration/apply'
import { PlatformTable } from '../../constants'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../errors'
import { reportRollouts, reportKnownRecord, type RolloutReport } from '../../rollout/report'
import type { RolloutRecord } from '../../rollout/types'
import type { Endpoint } from '../../types'
import type { CommandFunction, CommandInput, CommandOutput } from '../context'
import { requestStatuses, controlPorts } from '../controlPorts'
import { ExitCode } from '../exitCodes'
import { instanceOption, noFurtherArguments } from '../input'
import { formatTable, formatTime } from '../output'

const HEADINGS = ['MODEL', 'STATE', 'FROM', 'TO', 'PHASE', 'SHARE', 'REASON', 'FINISH BY', 'DEADLINE']

export const runMoves: CommandFunction = async (input) => {
  noFurtherArguments(input, 0)
  const targets = instanceOption(input)
  if (targets.length > 0 && input.options.platform === undefined) return await reportInstances(input, targets, false)
  try {
    return await reportPlatform(input)
  } catch (error) {
    const unavailable = error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError
    if (!unavailable || targets.length === 0) throw error
    return await reportInstances(input, targets, true)
  }
}

async function reportPlatform (input: CommandInput): Promise<CommandOutput> {
  const platform = input.platform()
  const current = await readCurrentConfiguration(platform)
  const rows = await platform.readTable<RolloutRecord>(PlatformTable.rollout)
  const reports = reportRollouts(rows.map(row => row.value), current?.configuration.models, input.context.wallClock())
  return { data: reports, text: reports.length === 0 ? 'no models\n' : formatTable(HEADINGS, reports.map(reportCells)) }
}

/** Reports each instance's view separately, as views of unknown age cannot be merged into a consistent state. */
async function reportInstances (
  input: CommandInput, targets: readonly Endpoint[], platformFailed: boolean
): Promise<CommandOutput> {
  const responses = await requestStatuses(input.context, controlPorts([], targets))
  const views = responses.map(({ name, value, failure }) => ({
    name: value?.instance ?? name,
    failure: value !== undefined && value.rollouts === undefined ? 'rollouts not readable' : failure,
    rollouts: value?.rollouts?.map(reportKnownRecord)
  }))
  const rows = views.flatMap(({ name, rollouts }) => (rollouts ?? []).map(report => [name, ...reportCells(report)]))
  const unknownViews = views.filter(({ rollouts }) => rollouts === undefined)
  const platform = platformFailed ? 'unavailable' : 'not asked'
  return {
    exitCode: platformFailed ? ExitCode.platformUnavailable : unknownViews.length > 0 ? ExitCode.failed : ExitCode.ok,
    data: { source: 'instances', platform, age: 'unknown', instances: views },
    text: `platform ${platform}; the instances' views, age unknown:\n` +
      (rows.length === 0 ? 'no rollout known to the instances that answered\n' : formatTable(['INSTANCE', ...HEADINGS], rows)) +
      unknownViews.map(({ name, failure }) => `view unknown: ${name} (${failure})\n`).join('')
  }
}

function reportCells (report: RolloutReport): Array<string | undefined> {
  return [
    report.model, report.state, report.fromVersion, report.toVersion, report.phase,
    report.share === undefined ? undefined : `${report.share * 100}%`,
    report.reason === undefined ? undefined : report.reason + (report.route === undefined ? '' : ` on ${report.route}`),
    formatTime(report.finishBy),
    report.finishBy === undefined ? '-' : report.deadlineMissed === undefined ? 'unknown' : report.deadlineMissed ? 'missed' : 'not missed'
  ]
}
