import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { InvalidRequestError } from '../../errors'
import { extractKey, removeKey, type HeaderValues } from '../keyRemoval'
import { generateKey } from '../keys'

const key = generateKey(new Uint8Array(32).map((_, index) => index * 7 + 3))
const percent = (text: string) => [...text].map(character => '%' + character.charCodeAt(0).toString(16)).join('')
const base64 = (text: string) => Buffer.from(text).toString('base64')
const json = (text: string) => [...text].map(character => '\\u' + character.charCodeAt(0).toString(16).padStart(4, '0')).join('')
const encodings: Record<string, (text: string) => string> = {
  plain: text => text,
  percent,
  'percent twice': text => percent(percent(text)),
  Basic: text => `Basic ${base64(`user:${text}`)}`,
  'Basic without user': text => `Basic ${base64(text)}`,
  'percent inside Basic': text => `Basic ${base64(`u:${percent(text)}`)}`,
  base64url: text => Buffer.from(`{"token":"${text}"}`).toString('base64url'),
  'JSON escapes': text => `{"k":"${json(text)}"}`
}

describe('key removal', () => {
  it.each([
    ['Bearer', { authorization: `Bearer ${key}` }, '/v1'],
    ['lower-case bearer', { authorization: `bearer  ${key} ` }, '/v1'],
    ['x-api-key', { 'x-api-key': key }, '/v1'],
    ['query', {}, `/v1?a=1&api_key=${percent(key)}`],
    ['query with encoded name', {}, `/v1?api%5Fkey=${key}&b`],
    ['cookie', { cookie: `a=1; api_key="${key}"; b=2` }, '/v1']
  ])('finds and removes a key given as %s', (_, headers: HeaderValues, path) => {
    expect(extractKey({ headers, path })).toBe(key)
    const safe = removeKey({ headers, path })
    expect(JSON.stringify(safe)).not.toContain(key)
    expect(safe.path).toMatch(/^\/v1(\?(a=1|b))?$/)
    if (headers.cookie !== undefined) expect(safe.headers.cookie).toBe('a=1; b=2')
  })

  const cases = Object.entries(encodings).flatMap(([name, encode]) => ['x-trace', 'referer', 'cookie', 'query', 'list'].map(place => ({ name, place, encode })))
  it.each(cases)('removes a copy of the key in $place, encoded as $name', ({ place, encode }) => {
    const copy = encode(key)
    const headers: Record<string, string | string[]> = { authorization: `Bearer ${key}`, accept: 'text/plain' }
    if (place === 'x-trace') headers['x-trace'] = `id=${copy}`
    if (place === 'referer') headers.referer = `http://host/?k=${copy}`
    if (place === 'cookie') headers.cookie = `session=${copy}`
    if (place === 'list') headers['x-list'] = ['one', copy]
    const path = place === 'query' ? `/v1?token=${encodeURIComponent(copy)}&page=2` : '/v1?page=2'
    expect(removeKey({ headers, path })).toEqual({ headers: { accept: 'text/plain' }, path: '/v1?page=2' })
  })

  it('also removes a second key that is not used for authentication', () => {
    const other = generateKey(new Uint8Array(32).fill(9))
    const headers = { authorization: `Bearer ${key}`, 'x-api-key': other, 'x-copy': other }
    expect(removeKey({ headers, path: `/v1?x=${other}` })).toEqual({ headers: {}, path: '/v1' })
  })

  it('rejects a path that contains the key, because removing it would change the resource', () => {
    expect(() => removeKey({ headers: { 'x-api-key': key }, path: `/v1/${percent(key)}` })).toThrow(InvalidRequestError)
  })

  // Guards against a caller that keeps the process busy, as each key is searched for in all header fields.
  it.each([
    ['cookies', (keys: string[]) => ({ headers: { cookie: keys.map((name) => `api_key=${name}`).join(';') }, path: '/v1' })],
    ['query parameters', (keys: string[]) => ({ headers: {}, path: `/v1?${keys.map((name) => `api_key=${name}`).join('&')}` })]
  ])('rejects more than 8 different keys in %s', (_, partsOf) => {
    const keys = Array.from({ length: 9 }, (_value, index) => `key-number-${index}`)
    expect(() => removeKey(partsOf(keys))).toThrow(expect.objectContaining({ code: 'invalid_request', execution: 'not_run' }))
    expect(removeKey(partsOf([...keys.slice(1), ...keys.slice(1)]))).toEqual({ headers: {}, path: '/v1' })
  })

  it('leaves everything else as received', () => {
    fc.assert(fc.property(
      fc.dictionary(fc.stringMatching(/^x-[a-z]{1,8}$/), fc.string()), fc.webPath(), fc.webQueryParameters(),
      (headers, path, query) => {
        const parts = { headers: { ...headers }, path: `${path}?${query}` }
        const safe = removeKey({ ...parts, headers: { ...headers, authorization: `Bearer ${key}` } })
        expect(safe.headers).toEqual(headers)
        expect(safe.path).toBe(query === '' ? path : parts.path)
      }))
  })
})
