import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { StreamIntegrityError } from '../../errors'
import type { CompletionChunk } from '../../upstream/types'
import { fingerprintOf } from '../fingerprint'
import { createStreamAssembler } from '../streamAssembler'

function chunk (attempt: number, index: number, change: Partial<CompletionChunk> = {}): CompletionChunk {
  return { requestIdentifier: 'r', attempt, index, text: `t${index} `, final: false, ...change }
}

describe('stream assembler', () => {
  it.each([
    ['a chunk of another request', chunk(1, 1, { requestIdentifier: 'other' })],
    ['a late chunk of an earlier attempt', chunk(0, 1)],
    ['a missing chunk', chunk(1, 2)],
    ['a repeated chunk', chunk(1, 0)]
  ])('rejects %s and keeps the accepted chunks', (_, wrong) => {
    const assembler = createStreamAssembler('r')
    assembler.beginAttempt(1)
    assembler.accept(chunk(1, 0))
    expect(() => assembler.accept(wrong)).toThrow(StreamIntegrityError)
    expect([assembler.text(), assembler.deliveredChunks(), assembler.finalChunk()]).toEqual(['t0 ', 1, undefined])
  })

  it('rejects chunks after the final chunk, which would extend a complete response', () => {
    const assembler = createStreamAssembler('r')
    assembler.beginAttempt(1)
    assembler.accept(chunk(1, 0, { final: true }))
    expect(() => assembler.accept(chunk(1, 1))).toThrow(StreamIntegrityError)
  })

  it('delivers exactly the complete text for any sequence of truncated, late, misrouted and duplicate chunks', () => {
    const completeText = Array.from({ length: 20 }, (_, index) => `t${index} `).join('')
    const fault = fc.record({
      cutAfter: fc.nat(20), noise: fc.array(fc.tuple(fc.nat(5), fc.nat(25), fc.constantFrom('r', 'q')), { maxLength: 5 })
    })
    fc.assert(fc.property(fc.array(fault, { maxLength: 6 }), (faults) => {
      const assembler = createStreamAssembler('r')
      for (const [number, { cutAfter, noise }] of [...faults, { cutAfter: 100, noise: [] }].entries()) {
        const attempt = number + 1
        const { resumeFrom, resumeText } = assembler.beginAttempt(attempt)
        expect(completeText.startsWith(resumeText)).toBe(true)
        for (let index = resumeFrom; index < Math.min(20, resumeFrom + cutAfter); index += 1) {
          assembler.accept(chunk(attempt, index, { final: index === 19 }))
          for (const [wrongAttempt, wrongIndex, identifier] of noise) {
            const wrong = chunk(wrongAttempt, wrongIndex, { requestIdentifier: identifier })
            const valid = wrongAttempt === attempt && wrongIndex === index + 1 && identifier === 'r' && index < 19
            if (!valid) expect(() => assembler.accept(wrong)).toThrow(StreamIntegrityError)
          }
        }
        if (assembler.finalChunk() !== undefined) break
      }
      expect(assembler.text()).toBe(completeText)
      expect(assembler.deliveredChunks()).toBe(20)
    }))
  })
})

describe('fingerprint', () => {
  it('differs when the same characters are divided differently between customer and route', () => {
    expect(fingerprintOf('ab', 'c', 'x')).not.toBe(fingerprintOf('a', 'bc', 'x'))
    expect(fingerprintOf('a', 'b', 'x')).toBe(fingerprintOf('a', 'b', Buffer.from('x')))
  })
})
