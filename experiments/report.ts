/** Self-contained HTML reports with SVG plots. They hold no times of creation, so the same seed gives the same bytes. */
import { mkdir, writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import type { RunResult } from './model/run'
import { spread } from './summary'
import type { FigureName, SummaryRow, TargetResult } from './summary'

const RESULTS = new URL('./results/', import.meta.url)
const WIDTH = 720
const BAR_HEIGHT = 16
const LABEL_WIDTH = 220
const COLOURS: Readonly<Record<string, string>> = {
  'round-robin': '#999999', 'least-loaded': '#d95f02', 'consistent-hash': '#7570b3', waxwingspoke: '#1b9e77', oracle: '#444444'
}

/** Writes a file into experiments/results and returns its path. */
export async function writeResult (name: string, content: string): Promise<string> {
  await mkdir(RESULTS, { recursive: true })
  const path = fileURLToPath(new URL(name, RESULTS))
  await writeFile(path, content)
  return path
}

export function renderRun (result: RunResult): string {
  const { timeline, customers, ...figures } = result.figures
  const title = `${result.preset}, ${result.scenario}, ${result.policy}, seed ${result.seed}`
  const lines = Object.entries(figures).map(([name, value]) => [name, String(Math.round(value * 1e4) / 1e4)])
  return page(title, [
    heading('Time to first token, p95 in milliseconds by second of arrival'), plotLine(timeline),
    heading('Figures'), renderTable(['figure', 'value'], lines),
    heading('Customers inside their rate'),
    renderTable(['customer', 'requests', 'served within 1.2 s', 'mean TTFT ms'], Object.entries(customers).map(
      ([name, { requests, served, answered, milliseconds }]) =>
        [name, String(requests), String(served), (milliseconds / Math.max(1, answered)).toFixed(1)]))
  ])
}

export function renderSummary (
  rows: readonly SummaryRow[], targets: readonly TargetResult[], more: readonly string[] = []
): string {
  const sections = [
    heading('Targets of design 2.2'),
    renderTable(['preset', 'scenario', 'target', 'measured', 'bound', 'result'], targets.map(target => [
      target.preset, target.scenario, target.target, target.value.toFixed(4), target.bound, target.met ? 'met' : 'missed'
    ]))
  ]
  const groups = new Set(rows.map(({ preset, scenario }) => `${preset} ${scenario}`))
  for (const group of groups) {
    const members = rows.filter(({ preset, scenario }) => `${preset} ${scenario}` === group)
    sections.push(
      heading(`${group}, ${members[0]!.seeds} seeds`),
      plotBars('prefix hit rate', members, 'hitRate', 3), plotBars('p99 time to first token in ms', members, 'p99', 0)
    )
  }
  return page('Routing policies by scenario', [...sections, ...more])
}

export function page (title: string, sections: readonly string[]): string {
  const style = 'body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;' +
    'padding:2px 8px;text-align:left}svg{display:block;margin:1em 0}'
  return `<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>${escape(title)}</title>` +
    `<style>${style}</style></head><body>\n<h1>${escape(title)}</h1>\n${sections.join('\n')}\n</body></html>\n`
}

export const heading = (text: string): string => `<h2>${escape(text)}</h2>`

export function renderTable (head: readonly string[], lines: ReadonlyArray<readonly string[]>): string {
  const row = (cells: readonly string[], tag: string): string =>
    `<tr>${cells.map(cell => `<${tag}>${escape(cell)}</${tag}>`).join('')}</tr>`
  return `<table>${row(head, 'th')}${lines.map(line => row(line, 'td')).join('')}</table>`
}

function plotLine (values: readonly number[]): string {
  const height = 240
  const highest = Math.max(1, ...values)
  const points = values.map((value, position) =>
    `${(position * WIDTH / Math.max(1, values.length - 1)).toFixed(1)},${(height - value * height / highest).toFixed(1)}`)
  return `<svg width="${WIDTH}" height="${height + 20}"><polyline fill="none" stroke="#1b9e77" points="${points.join(' ')}"/>` +
    `<text x="0" y="12">${highest.toFixed(0)} ms</text><text x="0" y="${height + 16}">0 s</text>` +
    `<text x="${WIDTH}" y="${height + 16}" text-anchor="end">${values.length} s</text></svg>`
}

/** One bar for each policy: the median, with a line from the lowest to the highest. */
function plotBars (title: string, rows: readonly SummaryRow[], name: FigureName, digits: number): string {
  const highest = Math.max(1e-9, ...rows.map(({ figures }) => figures[name].highest))
  const scale = (value: number): number => value * (WIDTH - LABEL_WIDTH - 180) / highest
  const bars = rows.map(({ policy, figures }, position) => {
    const top = position * (BAR_HEIGHT + 6)
    const middle = top + BAR_HEIGHT / 2
    const { median, lowest, highest } = figures[name]
    return `<text x="0" y="${top + 12}">${escape(policy)}</text>` +
      `<rect x="${LABEL_WIDTH}" y="${top}" width="${scale(median).toFixed(1)}" height="${BAR_HEIGHT}" fill="${COLOURS[policy] ?? '#66a61e'}"/>` +
      `<line x1="${(LABEL_WIDTH + scale(lowest)).toFixed(1)}" x2="${(LABEL_WIDTH + scale(highest)).toFixed(1)}" y1="${middle}" y2="${middle}" stroke="#000"/>` +
      `<text x="${(LABEL_WIDTH + scale(highest) + 6).toFixed(1)}" y="${top + 12}">${spread(figures[name], digits)}</text>`
  })
  return `<h3>${escape(title)}</h3><svg width="${WIDTH + 160}" height="${rows.length * (BAR_HEIGHT + 6)}">${bars.join('')}</svg>`
}

function escape (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}
