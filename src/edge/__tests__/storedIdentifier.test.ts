/** Guards against tables that keep long identifiers of callers, or the header fields that identifiers are parts of. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { describe, expect, it } from 'vitest'
import { planPrompt } from '../promptPlan'
import { traitsOf } from '../requestTraits'
import { storedIdentifier } from '../storedIdentifier'

const FIELD_BYTES = 16_000
const REQUESTS = 2000
const MB = 1024 * 1024

const keep: ReadonlyArray<[name: string, keyOf: (identifier: string) => string | undefined]> = [
  ['the key of a prefix', (identifier) => planPrompt({
    identifier: undefined,
    callerTimeout: undefined,
    key: undefined,
    model: 'small',
    tokens: undefined,
    promptSegments: [{ identifier, tokens: 1 }, { identifier: 'own', tokens: 1 }],
    resumeAfter: undefined
  }, undefined).prefixKey],
  ['a trait', (identifier) => traitsOf({
    callerRequest: { model: 'small', promptSegments: [{ identifier, tokens: 1 }, { identifier: 'own', tokens: 1 }] },
    customer: undefined,
    method: 'GET',
    path: '/',
    body: undefined
  }).parts[0]]
]

function heapAfterCollection (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  return process.memoryUsage().heapUsed
}

describe.each(keep)('%s', (_name, keyOf) => {
  it.each([['a short part', 40], ['a long part', 10_000]])('does not keep the header field: %s', (_part, length) => {
    const before = heapAfterCollection()
    const keys = Array.from({ length: REQUESTS }, (_, index) => {
      // As a parser reads them: the field is one string, and the identifier a part of it.
      const field = Buffer.alloc(FIELD_BYTES, `${index}/x`).toString('latin1')
      return keyOf(field.slice(0, length))
    })
    const grown = heapAfterCollection() - before
    expect(new Set(keys).size).toBe(REQUESTS)
    expect(grown).toBeLessThan(REQUESTS * FIELD_BYTES / 4)
    expect(grown).toBeLessThan(8 * MB)
  })
})

describe('an identifier', () => {
  it.each([['as it is', '5c1e07a2', '5c1e07a2'], ['with other bytes', 'pár', 'pár']])('is kept %s', (_name, identifier, kept) => {
    expect(storedIdentifier(identifier)).toBe(kept)
  })

  it('that is long has a bounded size and differs from others', () => {
    const identifiers = ['a', 'b'].map((end) => storedIdentifier(`${'x'.repeat(10_000)}${end}`))
    expect(identifiers.map(({ length }) => length)).toEqual([32, 32])
    expect(new Set(identifiers).size).toBe(2)
  })
})
