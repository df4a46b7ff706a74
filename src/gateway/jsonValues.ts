/** Counts the values of a JSON text before it is parsed, as each may use many times its bytes on the heap. */

const QUOTE = 0x22
const COMMA = 0x2c
const OPENING_BRACKET = 0x5b
const BACKSLASH = 0x5c
const OPENING_BRACE = 0x7b

/** Returns whether a JSON text in UTF-8 has more than `limit` array elements and object members, empty ones included. */
export function hasMoreJsonValues (text: Uint8Array, limit: number): boolean {
  let values = 0
  let isString = false
  for (let index = 0; index < text.length; index += 1) {
    const byte = text[index]
    if (byte === QUOTE) isString = !isString
    else if (isString) index += Number(byte === BACKSLASH)
    else if (byte === COMMA || byte === OPENING_BRACKET || byte === OPENING_BRACE) {
      values += 1
      if (values > limit) return true
    }
  }
  return false
}
