import { describe, expect, it } from 'vitest'
import { isSendableRequest } from '../headText'

/** Guards against a request target that the instance accepts on one kind of processor only, as the parser of Node.js does. */
describe('isSendableRequest', () => {
  it.each<[string, string, boolean]>([
    ['a path with a query', '/order/x?y=%C3%A9', true],
    ['the first and last printable characters', '/!~', true],
    ['the asterisk', '*', true],
    ['no character', '', false],
    ['a space', '/order/ x', false],
    ['a tab', '/order/\tx', false],
    ['a form feed', '/order/\fx', false],
    ['a delete character', '/order/\x7fx', false],
    ['the first byte beyond ASCII', '/order/\x80', false],
    ['Latin-1 letters in the path', '/order/\u00e9\u00ff', false],
    ['Latin-1 letters in the query', '/order/x?y=\u00e9', false],
    ['the bytes of UTF-8', '/order/\u00c3\u00a9', false]
  ])('decides about a target with %s', (_title, target, expected) => {
    expect(isSendableRequest(target, ['Host', 'shop.example'])).toBe(expected)
  })

  it.each<[string, string[], boolean]>([
    ['names of tokens, and values of any characters', ['X-Name', 'Jo\u00e3o'], true],
    ['an empty name', ['Host', 'shop.example', '', 'value'], false],
    ['a name with a space', ['X Y', 'value'], false],
    ['a name beyond ASCII', ['\u00e9', 'value'], false]
  ])('decides about headers with %s', (_title, rawHeaders, expected) => {
    expect(isSendableRequest('/order/x', rawHeaders)).toBe(expected)
  })
})
