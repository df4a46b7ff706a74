/** `moves`: rollouts as they stand in the platform's table, or as instances know them while the platform is away. */
import { readCurrentConfiguration } from '../../configuration/apply'
import { PlatformTable } from '../../constants'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../errors'
import { reportRollouts, reportKnownRecord, type RolloutReport } from '../../rollout/report'
import type { RolloutRecord } from '../../rollout/types'
import type { Endpoint } from '../../types'
import type { CommandFunction, CommandInput, CommandOutput } from '../context'
import { askStatuses, controlPorts } from '../controlPorts'
import { ExitCode } from '../exitCodes'
import { instanceOption, noFurtherArguments } from '../input'
import { formatTable, formatTime } from '../output'

const HEADINGS = ['MODEL', 'STATE', 'FROM', 'TO', 'PHASE', 'SHARE', 'REASON', 'FINISH BY', 'DEADLINE']

export const runMoves: CommandFunction = async (input) => {
  noFurtherArguments(input, 0)
  const given = instanceOption(input)
  if (given.length > 0 && input.options.platform === undefined) return await reportInstances(input, given, false)
  try {
    return await reportPlatform(input)
  } catch (error) {
    const away = error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError
    if (!away || given.length === 0) throw error
    return await reportInstances(input, given, true)
  }
}

async function reportPlatform (input: CommandInput): Promise<CommandOutput> {
  const platform = input.platform()
  const current = await readCurrentConfiguration(platform)
  const rows = await platform.readTable<RolloutRecord>(PlatformTable.rollout)
  const reports = reportRollouts(rows.map(row => row.value), current?.configuration.models, input.context.wallClock())
  return { data: reports, text: reports.length === 0 ? 'no models\n' : formatTable(HEADINGS, reports.map(reportCells)) }
}

/** Each instance's view is shown by itself: views of unknown age cannot be merged into one truth. */
async function reportInstances (
  input: CommandInput, given: readonly Endpoint[], platformFailed: boolean
): Promise<CommandOutput> {
  const answers = await askStatuses(input.context, controlPorts([], given))
  const views = answers.map(({ name, value, failure }) => ({
    name: value?.instance ?? name,
    failure: value !== undefined && value.rollouts === undefined ? 'rollouts not readable' : failure,
    rollouts: value?.rollouts?.map(reportKnownRecord)
  }))
  const rows = views.flatMap(({ name, rollouts }) => (rollouts ?? []).map(report => [name, ...reportCells(report)]))
  const silent = views.filter(({ rollouts }) => rollouts === undefined)
  const platform = platformFailed ? 'unavailable' : 'not asked'
  return {
    exitCode: platformFailed ? ExitCode.platformUnavailable : silent.length > 0 ? ExitCode.failed : ExitCode.ok,
    data: { source: 'instances', platform, age: 'unknown', instances: views },
    text: `platform ${platform}; the instances' views, age unknown:\n` +
      (rows.length === 0 ? 'no rollout known to the instances that answered\n' : formatTable(['INSTANCE', ...HEADINGS], rows)) +
      silent.map(({ name, failure }) => `view unknown: ${name} (${failure})\n`).join('')
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
