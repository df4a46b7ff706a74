/** Formatting of the text output of commands. */
import Table from 'cli-table3'

/** Formats a table without borders, with one space-padded column for each heading. */
export function formatTable (
  headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | undefined>>
): string {
  const noBorders = { top: '', 'top-mid': '', 'top-left': '', 'top-right': '', bottom: '', 'bottom-mid': '', 'bottom-left': '', 'bottom-right': '', left: '', 'left-mid': '', mid: '', 'mid-mid': '', right: '', 'right-mid': '', middle: '  ' }
  const table = new Table({ head: [...headings], chars: noBorders, style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 } })
  for (const row of rows) table.push(row.map(cell => cell === undefined ? '-' : String(cell)))
  return table.toString().split('\n').map(line => line.trimEnd()).filter(line => line !== '').join('\n') + '\n'
}

export function formatTime (wallClock: number | undefined): string {
  return wallClock === undefined ? '-' : new Date(wallClock).toISOString()
}
