/** Rules for the texts in the head of an HTTP/1.1 message (RFC 9110, sections 5.5 and 5.6.2; RFC 9112, sections 3 and 4). */

const PLAIN_VALUE = /^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/
const BEYOND_LATIN1 = /[^\x00-\xff]/ // eslint-disable-line no-control-regex

/** Whether a header carries the text unchanged: printable ASCII characters without surrounding spaces. */
export function isPlainHeaderValue (text: string): boolean {
  return PLAIN_VALUE.test(text)
}

/**
 * Returns the text as a header value. Texts beyond Latin-1 are encoded in UTF-8, with one character for each byte;
 * control characters are not encoded and make the value invalid.
 */
export function encodeHeaderValue (text: string): string {
  return BEYOND_LATIN1.test(text) ? Buffer.from(text, 'utf8').toString('latin1') : text
}
