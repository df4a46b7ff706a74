/** Extracts the API key from a caller's request and strips it from everything that is sent to an upstream. */
import { InvalidRequestError } from '../errors'
import { ExecutionStatus } from '../types'

export type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>

/** The parts of a request that may contain a key. Header names are lower-case, as provided by `node:http`. */
export interface RequestParts {
  headers: HeaderValues
  /** Path with query, as received. */
  path: string
}

/** Headers that carry credentials for the router. They are never forwarded to an upstream. */
const CREDENTIAL_HEADERS: ReadonlySet<string> = new Set(['authorization', 'proxy-authorization', 'x-api-key'])

/** Name of the query parameter and of the cookie that may carry a key. */
const KEY_PARAMETER = 'api_key'

/** Maximum depth of nested encodings that are decoded in the search, e.g. percent-encoding in Basic credentials. */
const MAX_DECODING_DEPTH = 3

/** Matches runs of base64 characters that are long enough to contain a key. */
const BASE64_RUN_PATTERN = /[A-Za-z0-9+/_-]{16,}={0,2}/g

/** Minimum length of a key that is searched for in other headers. Shorter texts would occur there by chance. */
const MIN_SEARCHED_KEY_LENGTH = 8

/** Maximum number of keys in one request. Each is searched for in all header fields. */
const MAX_KEYS = 8

/** Returns the caller's key, if any. Order of precedence: Bearer token, `x-api-key`, query parameter, cookie. */
export function extractKey (parts: RequestParts): string | undefined {
  return candidateKeys(parts)[0]
}

/** Returns all keys that the caller sent in the designated places. A request may contain several. */
function candidateKeys (parts: RequestParts): string[] {
  const bearer = /^Bearer +(\S+) *$/i.exec(firstValue(parts.headers.authorization) ?? '')?.[1]
  const values = [
    bearer,
    firstValue(parts.headers['x-api-key'])?.trim(),
    ...parseQueryPairs(parts.path).filter(pair => pair.name === KEY_PARAMETER).map(pair => pair.value),
    ...parseCookiePairs(joinValues(parts.headers.cookie, '; ')).filter(pair => pair.name === KEY_PARAMETER).map(pair => pair.value)
  ]
  return values.filter((value): value is string => value !== undefined && value !== '')
}

/**
 * Returns the headers and the path that may be forwarded to an upstream. Credential headers, the key parameter and the
 * key cookie are always removed. Other headers, parameters and cookies are removed if they contain one of the caller's
 * keys in any encoding.
 * @throws InvalidRequestError if the path itself contains a key, or there are more than `MAX_KEYS` keys.
 */
export function removeKey (parts: RequestParts): SafeParts {
  const keys = new Set(candidateKeys(parts).filter(key => key.length >= MIN_SEARCHED_KEY_LENGTH))
  if (keys.size > MAX_KEYS) {
    throw new InvalidRequestError(`the request contains more than ${MAX_KEYS} keys`, { execution: ExecutionStatus.notRun })
  }
  return [...keys].reduce<SafeParts>(removeOneKey, removeOneKey(parts, undefined))
}

/** The parts of a request that may be forwarded, without undefined headers. */
export interface SafeParts {
  headers: Record<string, string | readonly string[]>
  path: string
}

function removeOneKey (parts: RequestParts, key: string | undefined): SafeParts {
  const headers: Record<string, string | readonly string[]> = {}
  for (const [name, value] of Object.entries(parts.headers)) {
    if (value === undefined || CREDENTIAL_HEADERS.has(name) || containsKey(name, key?.toLowerCase())) continue
    if (name === 'cookie') {
      const cookies = parseCookiePairs(joinValues(value, '; '))
        .filter(pair => pair.name !== KEY_PARAMETER && !containsKey(pair.text, key)).map(pair => pair.text).join('; ')
      // A key that contains a cookie separator spans several cookies.
      if (cookies !== '' && !containsKey(cookies, key)) headers[name] = cookies
    } else if (!containsKey(joinValues(value, ', '), key) && !containsKey(joinValues(value, ''), key)) {
      headers[name] = value
    }
  }
  return { headers, path: removeKeyFromPath(parts.path, key) }
}

function removeKeyFromPath (path: string, key: string | undefined): string {
  const queryStart = path.indexOf('?')
  const pathWithoutQuery = queryStart === -1 ? path : path.slice(0, queryStart)
  if (containsKey(pathWithoutQuery, key)) {
    throw new InvalidRequestError('the path contains the key', { execution: ExecutionStatus.notRun })
  }
  if (queryStart === -1) return path
  const query = parseQueryPairs(path).filter(pair => pair.name !== KEY_PARAMETER && !containsKey(pair.text, key))
    .map(pair => pair.text).join('&')
  return query === '' || containsKey(query, key) ? pathWithoutQuery : `${pathWithoutQuery}?${query}`
}

interface Pair {
  /** The pair as received, not decoded. */
  text: string
  name: string
  value: string
}

function parseQueryPairs (path: string): Pair[] {
  const queryStart = path.indexOf('?')
  if (queryStart === -1) return []
  return path.slice(queryStart + 1).split('&').map(text => parsePair(text, part => percentDecode(part.replaceAll('+', ' '))))
}

function parseCookiePairs (header: string): Pair[] {
  return header.split(';').map(text => text.trim()).filter(text => text !== '')
    .map(text => parsePair(text, part => percentDecode(part.trim().replace(/^"(.*)"$/, '$1'))))
}

function parsePair (text: string, decode: (part: string) => string): Pair {
  const equals = text.indexOf('=')
  return equals === -1
    ? { text, name: decode(text), value: '' }
    : { text, name: decode(text.slice(0, equals)), value: decode(text.slice(equals + 1)) }
}

/** Checks whether the text contains the key: plain, percent-encoded, with JSON escapes, or in base64 (Basic credentials). */
export function containsKey (text: string, key: string | undefined, depth = 0): boolean {
  if (key === undefined || key === '') return false
  if (text.includes(key)) return true
  if (depth === MAX_DECODING_DEPTH) return false
  const decoded = percentDecode(text)
    .replace(/\\u([0-9A-Fa-f]{4})/g, (_, code: string) => String.fromCharCode(parseInt(code, 16)))
    .replace(/\\(["\\/])/g, '$1')
  if (decoded !== text && containsKey(decoded, key, depth + 1)) return true
  return [...text.matchAll(BASE64_RUN_PATTERN)].some(([run]) => {
    return decodeBase64Alignments(run).some(decoded => containsKey(decoded, key, depth + 1))
  })
}

/** Decodes a run at all four alignments, because it may start with characters that are not part of the encoded text. */
function decodeBase64Alignments (run: string): string[] {
  return [0, 1, 2, 3].map(offset => Buffer.from(run.slice(offset), 'base64').toString('latin1'))
}

/** Decodes every valid sequence and keeps the others, unlike `decodeURIComponent`, which throws on an invalid one. */
function percentDecode (text: string): string {
  return text.replace(/(?:%[0-9A-Fa-f]{2})+/g, (run) => {
    return Buffer.from(run.replaceAll('%', ''), 'hex').toString('utf8')
  })
}

function firstValue (value: string | readonly string[] | undefined): string | undefined {
  return typeof value === 'object' ? value[0] : value
}

function joinValues (value: string | readonly string[] | undefined, separator: string): string {
  return typeof value === 'object' ? value.join(separator) : value ?? ''
}
