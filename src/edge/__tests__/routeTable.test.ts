import { describe, expect, it } from 'vitest'
import { createRouteTable } from '../routeTable'
import { createConfiguration, createCustomer, createRoute } from './fixtures'

const table = createRouteTable(createConfiguration({
  routes: [
    createRoute({ name: 'all', prefix: '/' }),
    createRoute({ name: 'chat', prefix: '/chat/' }),
    createRoute({ name: 'deep', prefix: '/chat/deep/' }),
    createRoute({ name: 'other', host: 'other.example', prefix: '/chat/' })
  ],
  customers: [createCustomer({ keys: ['one', 'two'] })]
}))

describe('route', () => {
  it.each([
    ['prefers the longest prefix', 'chat.example', '/chat/deep/x', 'deep'],
    ['matches a prefix only up to its slash', 'chat.example', '/chat/deeper', 'chat'],
    ['matches all other paths with the root', 'chat.example', '/elsewhere', 'all'],
    ['matches only routes of the host', 'other.example', '/chat/deep/x', 'other'],
    ['returns no route without a match at the host', 'other.example', '/elsewhere', undefined],
    ['ignores case and port of host names', 'Chat.Example:80', '/chat/x', 'chat'],
    ['returns no route for an unknown host', 'nobody.example', '/', undefined],
    ['returns no route for a missing host', undefined, '/', undefined]
  ])('%s', (_title, host, path, name) => {
    expect(table.route(host, path)?.name).toBe(name)
  })
})

describe('customerOfKey', () => {
  it.each([['one', 'bakery'], ['two', 'bakery'], ['three', undefined]])('%s belongs to %s', (key, customer) => {
    expect(table.customerOfKey(key)?.name).toBe(customer)
  })
})
