/** `timeline`: merges the log files of multiple processes into a single causal order. */
import { writeFileSync } from 'node:fs'
import type { CAC } from 'cac'
import { UsageError } from '../errors'
import { readTimeline, renderTimelineText } from '../observability/timeline'
import type { TimelineFilter } from '../observability/timeline'
import { renderTimelinePage } from '../observability/timelinePage'

export interface TimelineCommandOptions extends TimelineFilter {
  /** Output file for the HTML page. If undefined, text is written to standard output. */
  html?: string
}

/** @throws UsageError if no files are given. */
export async function runTimelineCommand (
  files: readonly string[], options: TimelineCommandOptions, print: (text: string) => void
): Promise<void> {
  if (files.length === 0) throw new UsageError('timeline needs at least one log file')
  const { html, ...filter } = options
  const timeline = await readTimeline(files, filter)
  if (html === undefined) {
    print(renderTimelineText(timeline))
    return
  }
  writeFileSync(html, renderTimelinePage(timeline))
  print(`${timeline.entries.length} events, ${timeline.malformedLines} malformed lines skipped, written to ${html}\n`)
}

/** Registers the command with the program. */
export function addTimelineCommand (program: CAC, print: (text: string) => void): void {
  program.command('timeline [...files]', 'Merge log files of many processes into causal order')
    .usage('timeline FILE...')
    .option('--request <identifier>', 'Only events of one request')
    .option('--customer <name>', 'Only events of one customer')
    .option('--upstream <name>', 'Only events of one upstream')
    .option('--rollout <model>', 'Only events of the rollout of one model')
    .option('--html <file>', 'Write one HTML page instead of text')
    .action(async (files: string[], options: Record<string, unknown>) => {
      const textOption = (name: string): string | undefined =>
        options[name] === undefined ? undefined : String(options[name])
      const timelineOptions: TimelineCommandOptions = {}
      for (const name of ['request', 'customer', 'upstream', 'rollout', 'html'] as const) {
        const value = textOption(name)
        if (value !== undefined) timelineOptions[name] = value
      }
      await runTimelineCommand(files, timelineOptions, print)
    })
}
