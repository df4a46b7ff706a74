/** Rules for the texts in the head of an HTTP/1.1 message (RFC 9110, sections 5.5 and 5.6.2; RFC 9112, sections 3 and 4). */

const HEADER_NAME = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/
const PLAIN_VALUE = /^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/
/** Targets are ASCII only (RFC 9112, section 3.2). The parser of Node.js refuses other bytes on some processors only. */
const REQUEST_TARGET = /^[\x21-\x7e]+$/
/** Of header values and reason phrases. */
const FIELD_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/
const BEYOND_LATIN1 = /[^\x00-\xff]/ // eslint-disable-line no-control-regex

/** Whether a header carries the text unchanged: printable ASCII characters without surrounding spaces. */
export function isPlainHeaderValue (text: string): boolean {
  return PLAIN_VALUE.test(text)
}

/** Whether a header can carry the text; surrounding spaces get lost. */
export function isHeaderValue (text: string): boolean {
  return FIELD_TEXT.test(text)
}

/**
 * Returns the text as a header value. Texts beyond Latin-1 are encoded in UTF-8, with one character for each byte;
 * control characters are not encoded and make the value invalid.
 */
export function encodeHeaderValue (text: string): string {
  return BEYOND_LATIN1.test(text) ? Buffer.from(text, 'utf8').toString('latin1') : text
}

/** Whether a request with this target and these raw headers (name, value, name, value) is well-formed and can be sent. */
export function isSendableRequest (target: string, rawHeaders: readonly string[]): boolean {
  return REQUEST_TARGET.test(target) && areHeaderNames(rawHeaders)
}

/**
 * Whether the head is that of a final response. Parsers accept any three digits as a status, and control characters in
 * the reason phrase; a server can send neither.
 */
export function isFinalResponseHead (status: number, reasonPhrase: string, rawHeaders: readonly string[]): boolean {
  return status >= 200 && status <= 599 && isHeaderValue(reasonPhrase) && areHeaderNames(rawHeaders)
}

/** Parsers accept empty names and names that contain spaces. */
function areHeaderNames (rawHeaders: readonly string[]): boolean {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!HEADER_NAME.test(rawHeaders[index]!)) return false
  }
  return true
}

/** Whether a request with this `Expect` header can be served: servers know `100-continue` only (RFC 9110, section 10.1.1). */
export function isKnownExpectation (expect: string | undefined): boolean {
  return expect === undefined || expect.toLowerCase() === '100-continue'
}
