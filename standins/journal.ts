/** Journal of the requests that an upstream stand-in began and finished. */
import { appendFileSync } from 'node:fs'

export interface JournalEntry {
  requestIdentifier: string
  attempt: number
  /** Wall-clock milliseconds. */
  began: number
  /** Undefined while the request runs. */
  finished?: number
  outcome?: 'complete' | 'cancelled' | 'failed' | 'truncated'
  [field: string]: unknown
}

export interface Journal {
  begin: (entry: Omit<JournalEntry, 'began'> & { requestIdentifier: string, attempt: number }) => JournalEntry
  finish: (entry: JournalEntry, outcome: NonNullable<JournalEntry['outcome']>, fields?: Record<string, unknown>) => void
  entries: () => readonly JournalEntry[]
  clear: () => void
}

/** Entries kept in memory; a longer run reads the journal in between or uses the file. */
const JOURNAL_LENGTH = 200_000

/** Creates a journal. With a file, each change is also appended as a JSON line, so that it outlives a crash. */
export function createJournal (file?: string): Journal {
  let entries: JournalEntry[] = []
  function append (event: string, entry: JournalEntry): void {
    if (file !== undefined) appendFileSync(file, `${JSON.stringify({ event, ...entry })}\n`)
  }
  return {
    begin (fields) {
      const { requestIdentifier, attempt } = fields
      const entry: JournalEntry = { ...fields, requestIdentifier, attempt, began: Date.now() }
      entries.push(entry)
      if (entries.length > JOURNAL_LENGTH) entries = entries.slice(-JOURNAL_LENGTH / 2)
      append('began', entry)
      return entry
    },
    finish (entry, outcome, fields = {}) {
      if (entry.finished !== undefined) return
      Object.assign(entry, fields, { finished: Date.now(), outcome })
      append('finished', entry)
    },
    entries: () => entries,
    clear () { entries = [] }
  }
}
