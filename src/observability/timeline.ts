/**
 * Merges the JSON-lines logs of multiple processes into one causally ordered timeline. The hybrid logical clock of each
 * line orders an effect after its cause even if the wall clocks of the machines disagree.
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { parseHybridTime } from './hybridClock'

/** One log line. */
export interface TimelineEntry {
  /** Hybrid logical clock in its sortable string format. */
  clock: string
  /** Wall-clock time of the process that wrote the line, in milliseconds. */
  time: number
  instance: string
  incarnation: number
  event: string
  level: string
  /** All other fields of the line. */
  fields: Readonly<Record<string, unknown>>
}

/** Selects timeline entries. An undefined field matches every entry. */
export interface TimelineFilter {
  request?: string
  customer?: string
  upstream?: string
  /** Model name of a rollout. */
  rollout?: string
}

export interface Timeline {
  entries: readonly TimelineEntry[]
  /** Number of lines that are not valid log lines, for example lines truncated when a process was killed. */
  malformedLines: number
}

/** Parses one line. Returns undefined if it is not a log line. */
export function parseTimelineLine (line: string): TimelineEntry | undefined {
  let value: unknown
  try {
    value = JSON.parse(line)
  } catch {
    return undefined
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined
  const { clock, time, instance, incarnation, event, level, ...fields } = value as Record<string, unknown>
  if (typeof clock !== 'string' || parseHybridTime(clock) === undefined) return undefined
  if (typeof event !== 'string' || typeof instance !== 'string' || typeof time !== 'number') return undefined
  return {
    clock,
    time,
    instance,
    incarnation: typeof incarnation === 'number' ? incarnation : 0,
    event,
    level: typeof level === 'string' ? level : 'info',
    fields
  }
}

/** Merges the log lines of any number of processes, given in any order. Ignores blank lines. */
export function mergeTimeline (lines: Iterable<string>, filter: TimelineFilter = {}): Timeline {
  const entries: TimelineEntry[] = []
  let malformedLines = 0
  for (const line of lines) {
    if (line.trim() === '') continue
    const entry = parseTimelineLine(line)
    if (entry === undefined) malformedLines++
    else if (matches(entry, filter)) entries.push(entry)
  }
  entries.sort(compareEntries)
  return { entries, malformedLines }
}

/** Reads and merges log files. Only entries that match the filter are kept in memory. */
export async function readTimeline (files: readonly string[], filter: TimelineFilter = {}): Promise<Timeline> {
  const entries: TimelineEntry[] = []
  let malformedLines = 0
  for (const file of files) {
    for await (const line of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
      const part = mergeTimeline([line], filter)
      entries.push(...part.entries)
      malformedLines += part.malformedLines
    }
  }
  entries.sort(compareEntries)
  return { entries, malformedLines }
}

/** Renders each entry as one line of text: time, instance, event and fields. */
export function renderTimelineText (timeline: Timeline): string {
  const width = timeline.entries.reduce((widest, entry) => Math.max(widest, entry.instance.length), 0)
  const lines = timeline.entries.map((entry) => {
    const fields = Object.entries(entry.fields).map(([name, value]) => `${name}=${formatValue(value)}`).join(' ')
    return `${new Date(entry.time).toISOString()} ${entry.instance.padEnd(width)} ${entry.event} ${fields}`.trimEnd()
  })
  if (timeline.malformedLines > 0) lines.push(`skipped ${timeline.malformedLines} malformed lines`)
  return lines.join('\n') + '\n'
}

function formatValue (value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value) ?? 'undefined'
}

/** Orders entries by clock. Concurrent events with equal clocks are ordered by instance name to keep the order stable. */
function compareEntries (left: TimelineEntry, right: TimelineEntry): number {
  if (left.clock !== right.clock) return left.clock < right.clock ? -1 : 1
  if (left.instance !== right.instance) return left.instance < right.instance ? -1 : 1
  return left.incarnation - right.incarnation
}

function matches (entry: TimelineEntry, filter: TimelineFilter): boolean {
  const { fields } = entry
  if (filter.request !== undefined && fields.requestIdentifier !== filter.request) return false
  if (filter.customer !== undefined && fields.customer !== filter.customer) return false
  if (filter.upstream !== undefined && fields.upstream !== filter.upstream) return false
  return filter.rollout === undefined || fields.rollout === filter.rollout || isRolloutOf(entry, filter.rollout)
}

function isRolloutOf (entry: TimelineEntry, model: string): boolean {
  return entry.event.startsWith('rollout.') && entry.fields.model === model
}
