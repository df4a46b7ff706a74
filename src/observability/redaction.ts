/** Redacts API keys anywhere in a log line. */

/** Minimum length of a key part that is searched for. Shorter parts also occur in ordinary text. */
const MIN_PART_LENGTH = 8

/** Maximum number of registered key parts. The oldest are evicted first. */
const MAX_PARTS = 20_000

/** Number of characters by which a part is found. Granted keys are shorter; callers may send longer ones. */
const MAX_PART_LENGTH = 64

const WORD_PATTERN = /[A-Za-z0-9_-]{8,}/g

/** Replacement text for a redacted key. */
export const REDACTED = '[redacted]'

export interface KeyRedaction {
  /** Registers a key. All lines that are redacted later omit it. */
  register: (key: string) => void
  redact: (line: string) => string
}

/**
 * Searches word by word with one set lookup per word, so that the cost does not grow with the number of keys. A key
 * with characters outside `[A-Za-z0-9_-]` is split into words, and each word is registered.
 */
export function createKeyRedaction (): KeyRedaction {
  const parts = new Set<string>()
  return {
    register (key) {
      for (const word of key.match(WORD_PATTERN) ?? []) {
        const part = word.slice(0, MAX_PART_LENGTH)
        if (part.length < MIN_PART_LENGTH || parts.has(part)) continue
        if (parts.size >= MAX_PARTS) parts.delete(parts.values().next().value as string)
        // A part of a header field is a view of it, which would keep the whole field.
        parts.add(Buffer.from(part).toString())
      }
    },
    redact (line) {
      return parts.size === 0 ? line : line.replace(WORD_PATTERN, (word) => redactWord(word, parts))
    }
  }
}

function redactWord (word: string, parts: ReadonlySet<string>): string {
  return parts.has(word.slice(0, MAX_PART_LENGTH)) ? REDACTED : word
}
