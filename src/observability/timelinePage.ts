/** Renders a timeline as a self-contained HTML page with inline SVG. */
import type { Timeline, TimelineEntry } from './timeline'

const LANE_HEIGHT = 36
const LABEL_WIDTH = 180
const PLOT_WIDTH = 1000
const MARGIN = 24

const COLOURS: Readonly<Record<string, string>> = { error: '#b3261e', warn: '#c77700', info: '#1f5fa8', debug: '#777777' }

/** Renders one lane per instance and connects the entries of each request with a line. */
export function renderTimelinePage (timeline: Timeline): string {
  const lanes = [...new Set(timeline.entries.map((entry) => entry.instance))]
  const times = timeline.entries.map((entry) => wallTimeOf(entry))
  const start = times.reduce((lowest, time) => Math.min(lowest, time), Infinity)
  const end = times.reduce((highest, time) => Math.max(highest, time), -Infinity)
  const span = Math.max(1, end - start)
  const x = (entry: TimelineEntry): number => LABEL_WIDTH + ((wallTimeOf(entry) - start) / span) * PLOT_WIDTH
  const y = (entry: TimelineEntry): number => MARGIN + lanes.indexOf(entry.instance) * LANE_HEIGHT + LANE_HEIGHT / 2
  const height = MARGIN * 2 + Math.max(1, lanes.length) * LANE_HEIGHT
  const laneElements = lanes.map((lane, index) => {
    const middle = MARGIN + index * LANE_HEIGHT + LANE_HEIGHT / 2
    return `<line x1="${LABEL_WIDTH}" y1="${middle}" x2="${LABEL_WIDTH + PLOT_WIDTH}" y2="${middle}" stroke="#ddd"/>` +
      `<text x="8" y="${middle + 4}">${escapeText(lane)}</text>`
  })
  const points = timeline.entries.map((entry) =>
    `<circle cx="${x(entry).toFixed(1)}" cy="${y(entry)}" r="4" fill="${COLOURS[entry.level] ?? '#1f5fa8'}">` +
    `<title>${escapeText(describeEntry(entry))}</title></circle>`)
  const rows = timeline.entries.map((entry) =>
    `<tr class="${escapeText(entry.level)}"><td>${((wallTimeOf(entry) - start) / 1000).toFixed(3)}</td>` +
    `<td>${escapeText(entry.instance)}</td><td>${escapeText(entry.event)}</td>` +
    `<td>${escapeText(JSON.stringify(entry.fields))}</td></tr>`)
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title><style>
body{font:13px system-ui,sans-serif;margin:16px}table{border-collapse:collapse}td,th{padding:2px 8px;text-align:left;
border-bottom:1px solid #eee;vertical-align:top}td:last-child{font-family:monospace;word-break:break-all}
.error td{color:#b3261e}.warn td{color:#c77700}svg text{font:12px system-ui,sans-serif}
</style></head><body>
<h1>Timeline</h1>
<p>${timeline.entries.length} events of ${lanes.length} instances over ${(span / 1000).toFixed(3)} s,
${timeline.malformedLines} malformed lines skipped</p>
<svg width="${LABEL_WIDTH + PLOT_WIDTH + MARGIN}" height="${height}" role="img" aria-label="Events by instance">
${laneElements.join('\n')}
${renderRequestLines(timeline.entries, x, y).join('\n')}
${points.join('\n')}
</svg>
<table><thead><tr><th>Seconds</th><th>Instance</th><th>Event</th><th>Fields</th></tr></thead><tbody>
${rows.join('\n')}
</tbody></table></body></html>
`
}

/** Returns the wall time of the hybrid clock, which, unlike the local time, never contradicts the causal order. */
function wallTimeOf (entry: TimelineEntry): number {
  return Number(entry.clock.slice(0, 14))
}

function renderRequestLines (
  entries: readonly TimelineEntry[], x: (entry: TimelineEntry) => number, y: (entry: TimelineEntry) => number
): string[] {
  const byRequest = new Map<string, string[]>()
  for (const entry of entries) {
    const request = entry.fields.requestIdentifier
    if (typeof request !== 'string') continue
    const points = byRequest.get(request) ?? []
    points.push(`${x(entry).toFixed(1)},${y(entry)}`)
    byRequest.set(request, points)
  }
  return [...byRequest.values()].filter((points) => points.length > 1)
    .map((points) => `<polyline points="${points.join(' ')}" fill="none" stroke="#9db8d6"/>`)
}

function describeEntry (entry: TimelineEntry): string {
  return `${entry.event} ${entry.instance} ${JSON.stringify(entry.fields)}`
}

function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}
