import { describe, expect, it } from 'vitest'
import { MethodNotAllowedError, NotFoundError } from '../../errors'
import type { RouteConfiguration } from '../../types'
import { findRoute } from '../routeTable'

function route (name: string, path: string, methods = ['GET']): RouteConfiguration {
  return { name, path, methods, service: name, idempotentMethods: ['GET'], open: false, cost: 1 }
}
const routes = [route('orders', '/orders', ['GET', 'POST']), route('archive', '/orders/archive'), route('menu', '/menu/')]

describe('findRoute', () => {
  it.each([
    ['GET', '/orders', 'orders'], ['POST', '/orders/12', 'orders'], ['GET', '/orders/archive/3', 'archive'],
    ['GET', '/orders/archives', 'orders'], ['GET', '/menu', 'menu'], ['GET', '/menu/1', 'menu']
  ])('%s %s goes to %s', (method, path, name) => {
    expect(findRoute(routes, method, path).name).toBe(name)
  })

  // Guards against a path that an upstream resolves to a path of another route.
  it.each([
    '/ordersx', '/', '/orders/../menu', '/orders/%2e%2e/menu', '/orders/..%2fmenu', '/orders/.%2E/menu', '/orders\\..\\menu'
  ])('finds no route for %s', (path) => {
    expect(() => findRoute(routes, 'GET', path)).toThrow(NotFoundError)
  })

  it('rejects a method that the longest match does not permit', () => {
    expect(() => findRoute(routes, 'POST', '/orders/archive')).toThrow(MethodNotAllowedError)
  })
})
