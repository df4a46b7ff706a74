/** Removes key values from log lines, wherever in the line they occur. */

/** Parts of a key that are shorter than this occur in ordinary text and are not searched for. */
const SHORTEST_PART = 8

/** Key parts remembered for the search; the oldest are forgotten first. */
const LARGEST_COUNT = 20_000

const WORD = /[A-Za-z0-9_-]{8,}/g

/** Text put in place of a key. */
export const REDACTED = '[redacted]'

export interface KeyRedaction {
  /** Registers a key value; from now on it does not appear in any redacted line. */
  register: (key: string) => void
  redact: (line: string) => string
}

/**
 * Searches by word, with one set lookup for each word, so that the cost does not grow with the number of keys. A key
 * with characters outside `[A-Za-z0-9_-]` is registered as the words it consists of.
 */
export function createKeyRedaction (): KeyRedaction {
  const parts = new Set<string>()
  return {
    register (key) {
      for (const part of key.match(WORD) ?? []) {
        if (part.length < SHORTEST_PART || parts.has(part)) continue
        if (parts.size >= LARGEST_COUNT) parts.delete(parts.values().next().value as string)
        parts.add(part)
      }
    },
    redact (line) {
      return parts.size === 0 ? line : line.replace(WORD, (word) => redactWord(word, parts))
    }
  }
}

function redactWord (word: string, parts: ReadonlySet<string>): string {
  return parts.has(word) ? REDACTED : word
}
