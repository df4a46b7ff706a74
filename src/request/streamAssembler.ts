/** Puts the chunks of all attempts of one request into one complete, ordered stream. */
import { StreamIntegrityError } from '../errors'
import type { CompletionChunk } from '../upstream/types'

export interface StreamAssembler {
  /** Starts an attempt; chunks of earlier attempts are refused from now on. */
  beginAttempt: (attempt: number) => { resumeFrom: number, resumeText: string }
  /**
   * Checks that the chunk belongs to this request and attempt and comes next, and records it.
   * @throws StreamIntegrityError when it does not; nothing is recorded then.
   */
  accept: (chunk: CompletionChunk) => void
  /** Chunks accepted so far, the final marker not counted unless it carried text. */
  deliveredChunks: () => number
  /** Text accepted so far. */
  text: () => string
  /** The final chunk, once it has come. */
  finalChunk: () => CompletionChunk | undefined
}

export function createStreamAssembler (requestIdentifier: string): StreamAssembler {
  let attempt = 0
  let nextIndex = 0
  let parts: string[] = []
  let final: CompletionChunk | undefined

  function integrityFault (chunk: CompletionChunk): string | undefined {
    if (final !== undefined) return 'chunk after the final marker'
    if (chunk.requestIdentifier !== requestIdentifier) return `chunk of request ${chunk.requestIdentifier}`
    if (chunk.attempt !== attempt) return `chunk of attempt ${chunk.attempt}, expected ${attempt}`
    if (chunk.index !== nextIndex) return `chunk ${chunk.index}, expected ${nextIndex}`
    return undefined
  }

  function joinedText (): string {
    if (parts.length > 1) parts = [parts.join('')]
    return parts[0] ?? ''
  }

  return {
    beginAttempt (number) {
      attempt = number
      return { resumeFrom: nextIndex, resumeText: joinedText() }
    },
    accept (chunk) {
      const fault = integrityFault(chunk)
      if (fault !== undefined) {
        throw new StreamIntegrityError(`request ${requestIdentifier} attempt ${attempt}: ${fault}`)
      }
      if (chunk.text !== '') parts.push(chunk.text)
      if (chunk.text !== '' || !chunk.final) nextIndex += 1
      if (chunk.final) final = chunk
    },
    deliveredChunks: () => nextIndex,
    text: joinedText,
    finalChunk: () => final
  }
}
