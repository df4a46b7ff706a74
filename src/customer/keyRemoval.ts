/** Finds the key of a caller's request and removes it from everything that is sent to an upstream. */
import { InvalidRequestError } from '../errors'
import { ExecutionStatus } from '../types'

export type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>

/** The parts of a request that may hold a key. Header names are in lower case, as `node:http` gives them. */
export interface RequestParts {
  headers: HeaderValues
  /** Path with query, as received. */
  path: string
}

/** Headers that carry credentials for the router and never go upstream. */
const CREDENTIAL_HEADERS: ReadonlySet<string> = new Set(['authorization', 'proxy-authorization', 'x-api-key'])

/** Name of the query parameter and of the cookie that may carry a key. */
const KEY_PARAMETER = 'api_key'

/** Nested encodings that are undone when looking for a key, for example percent-encoding inside Basic credentials. */
const MAXIMUM_DECODING_DEPTH = 3

/** Shortest run of base64 characters that is decoded; a shorter one cannot hold a key. */
const BASE64_RUN = /[A-Za-z0-9+/_-]{16,}={0,2}/g

/** Shortest credential that is searched for in other headers; shorter texts would occur there by chance. */
const MINIMUM_SEARCHED_LENGTH = 8

/** Returns the caller's key, or undefined. The order is: Bearer, `x-api-key`, query, cookie. */
export function extractKey (parts: RequestParts): string | undefined {
  return candidateKeys(parts)[0]
}

/** Everything that the caller sent in a place for keys; a request may carry several. */
function candidateKeys (parts: RequestParts): string[] {
  const bearer = /^Bearer +(\S+) *$/i.exec(first(parts.headers.authorization) ?? '')?.[1]
  const values = [
    bearer,
    first(parts.headers['x-api-key'])?.trim(),
    ...queryPairs(parts.path).filter(pair => pair.name === KEY_PARAMETER).map(pair => pair.value),
    ...cookiePairs(joined(parts.headers.cookie, '; ')).filter(pair => pair.name === KEY_PARAMETER).map(pair => pair.value)
  ]
  return values.filter((value): value is string => value !== undefined && value !== '')
}

/**
 * Returns the headers and path that may go upstream. Credential headers, the key parameter and the key cookie are removed
 * in any case; other headers, parameters and cookies are removed when they contain one of the caller's keys in any
 * encoding. Rejects with `InvalidRequestError` when the path itself contains one.
 */
export function removeKey (parts: RequestParts): SafeParts {
  const keys = candidateKeys(parts).filter(key => key.length >= MINIMUM_SEARCHED_LENGTH)
  return [...new Set(keys)].reduce<SafeParts>(removeOneKey, removeOneKey(parts, undefined))
}

/** The parts of a request without undefined headers. */
export interface SafeParts {
  headers: Record<string, string | readonly string[]>
  path: string
}

function removeOneKey (parts: RequestParts, key: string | undefined): SafeParts {
  const headers: Record<string, string | readonly string[]> = {}
  for (const [name, value] of Object.entries(parts.headers)) {
    if (value === undefined || CREDENTIAL_HEADERS.has(name) || containsKey(name, key?.toLowerCase())) continue
    if (name === 'cookie') {
      const cookies = cookiePairs(joined(value, '; '))
        .filter(pair => pair.name !== KEY_PARAMETER && !containsKey(pair.text, key)).map(pair => pair.text).join('; ')
      // A key can also span what the cookie syntax splits.
      if (cookies !== '' && !containsKey(cookies, key)) headers[name] = cookies
    } else if (!containsKey(joined(value, ', '), key) && !containsKey(joined(value, ''), key)) {
      headers[name] = value
    }
  }
  return { headers, path: removeFromPath(parts.path, key) }
}

function removeFromPath (path: string, key: string | undefined): string {
  const mark = path.indexOf('?')
  const bare = mark === -1 ? path : path.slice(0, mark)
  if (containsKey(bare, key)) {
    throw new InvalidRequestError('the path contains the key', { execution: ExecutionStatus.notRun })
  }
  if (mark === -1) return path
  const query = queryPairs(path).filter(pair => pair.name !== KEY_PARAMETER && !containsKey(pair.text, key))
    .map(pair => pair.text).join('&')
  return query === '' || containsKey(query, key) ? bare : `${bare}?${query}`
}

interface Pair {
  /** As received. */
  text: string
  name: string
  value: string
}

function queryPairs (path: string): Pair[] {
  const mark = path.indexOf('?')
  if (mark === -1) return []
  return path.slice(mark + 1).split('&').map(text => toPair(text, part => percentDecode(part.replaceAll('+', ' '))))
}

function cookiePairs (header: string): Pair[] {
  return header.split(';').map(text => text.trim()).filter(text => text !== '')
    .map(text => toPair(text, part => percentDecode(part.trim().replace(/^"(.*)"$/, '$1'))))
}

function toPair (text: string, decode: (part: string) => string): Pair {
  const equals = text.indexOf('=')
  return equals === -1
    ? { text, name: decode(text), value: '' }
    : { text, name: decode(text.slice(0, equals)), value: decode(text.slice(equals + 1)) }
}

/** True when the text holds the key, also percent-encoded, with JSON escapes, or inside base64 such as Basic credentials. */
export function containsKey (text: string, key: string | undefined, depth = 0): boolean {
  if (key === undefined || key === '') return false
  if (text.includes(key)) return true
  if (depth === MAXIMUM_DECODING_DEPTH) return false
  const decoded = percentDecode(text)
    .replace(/\\u([0-9A-Fa-f]{4})/g, (_, code: string) => String.fromCharCode(parseInt(code, 16)))
    .replace(/\\(["\\/])/g, '$1')
  if (decoded !== text && containsKey(decoded, key, depth + 1)) return true
  return [...text.matchAll(BASE64_RUN)].some(([run]) => {
    return base64Readings(run).some(reading => containsKey(reading, key, depth + 1))
  })
}

/** A run may start with characters that are not part of the encoded text, so that all four alignments are read. */
function base64Readings (run: string): string[] {
  return [0, 1, 2, 3].map(offset => Buffer.from(run.slice(offset), 'base64').toString('latin1'))
}

/** Decodes every valid sequence and leaves the others, unlike `decodeURIComponent`, which fails on the first bad one. */
function percentDecode (text: string): string {
  return text.replace(/(?:%[0-9A-Fa-f]{2})+/g, (run) => {
    return Buffer.from(run.replaceAll('%', ''), 'hex').toString('utf8')
  })
}

function first (value: string | readonly string[] | undefined): string | undefined {
  return typeof value === 'object' ? value[0] : value
}

function joined (value: string | readonly string[] | undefined, separator: string): string {
  return typeof value === 'object' ? value.join(separator) : value ?? ''
}
