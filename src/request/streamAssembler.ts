/** Assembles the chunks of all attempts of one request into one complete, ordered stream. */
import { StreamIntegrityError } from '../errors'
import type { CompletionChunk } from '../upstream/types'

export interface StreamAssembler {
  /**
   * Starts an attempt, after which chunks of earlier attempts are rejected. Returns the position at which it resumes.
   */
  beginAttempt: (attempt: number) => { resumeFrom: number, resumeText: string }
  /**
   * Accepts a chunk that belongs to this request and attempt and is next in order.
   * @throws StreamIntegrityError for any other chunk, which is then not recorded.
   */
  accept: (chunk: CompletionChunk) => void
  /** Returns the number of accepted chunks. The final chunk counts only if it contains text. */
  deliveredChunks: () => number
  /** Returns the text accepted so far. */
  text: () => string
  /** Returns the final chunk, or undefined if it has not been accepted yet. */
  finalChunk: () => CompletionChunk | undefined
}

export function createStreamAssembler (requestIdentifier: string): StreamAssembler {
  let attempt = 0
  let nextIndex = 0
  let textParts: string[] = []
  let final: CompletionChunk | undefined

  function integrityViolation (chunk: CompletionChunk): string | undefined {
    if (final !== undefined) return 'chunk after the final marker'
    if (chunk.requestIdentifier !== requestIdentifier) return `chunk of request ${chunk.requestIdentifier}`
    if (chunk.attempt !== attempt) return `chunk of attempt ${chunk.attempt}, expected ${attempt}`
    if (chunk.index !== nextIndex) return `chunk ${chunk.index}, expected ${nextIndex}`
    return undefined
  }

  function joinedText (): string {
    if (textParts.length > 1) textParts = [textParts.join('')]
    return textParts[0] ?? ''
  }

  return {
    beginAttempt (attemptNumber) {
      attempt = attemptNumber
      return { resumeFrom: nextIndex, resumeText: joinedText() }
    },
    accept (chunk) {
      const fault = integrityViolation(chunk)
      if (fault !== undefined) {
        throw new StreamIntegrityError(`request ${requestIdentifier} attempt ${attempt}: ${fault}`)
      }
      if (chunk.text !== '') textParts.push(chunk.text)
      if (chunk.text !== '' || !chunk.final) nextIndex += 1
      if (chunk.final) final = chunk
    },
    deliveredChunks: () => nextIndex,
    text: joinedText,
    finalChunk: () => final
  }
}
