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
    ['the longest prefix wins', 'chat.example', '/chat/deep/x', 'deep'],
    ['a prefix ends with its slash', 'chat.example', '/chat/deeper', 'chat'],
    ['the root takes the rest', 'chat.example', '/elsewhere', 'all'],
    ['routes belong to their host', 'other.example', '/chat/deep/x', 'other'],
    ['a host without a match has no route', 'other.example', '/elsewhere', undefined],
    ['host names ignore case and port', 'Chat.Example:80', '/chat/x', 'chat'],
    ['an unknown host has no route', 'nobody.example', '/', undefined],
    ['a missing host has no route', undefined, '/', undefined]
  ])('%s', (_title, host, path, name) => {
    expect(table.route(host, path)?.name).toBe(name)
  })
})

describe('customerOfKey', () => {
  it.each([['one', 'bakery'], ['two', 'bakery'], ['three', undefined]])('%s belongs to %s', (key, customer) => {
    expect(table.customerOfKey(key)?.name).toBe(customer)
  })
})
