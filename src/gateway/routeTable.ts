/** Looks up the configured route of a path. */
import { MethodNotAllowedError, NotFoundError } from '../errors'
import { ExecutionStatus } from '../types'
import type { RouteConfiguration } from '../types'

/**
 * Returns the route with the longest path prefix that ends at a segment boundary.
 * @throws NotFoundError if no prefix matches, MethodNotAllowedError if the route does not permit the method.
 */
export function findRoute (
  routes: readonly RouteConfiguration[], method: string, path: string
): RouteConfiguration {
  // Upstreams resolve dot segments, so such a path could reach a resource that is protected by another route.
  if (hasDotSegment(path)) throw new NotFoundError('path contains dot segments', { execution: ExecutionStatus.notRun })
  let found: RouteConfiguration | undefined
  for (const route of routes) {
    if (isPrefix(route.path, path) && (found === undefined || route.path.length > found.path.length)) found = route
  }
  if (found === undefined) throw new NotFoundError(`no route for ${path}`, { execution: ExecutionStatus.notRun })
  if (!found.methods.includes(method)) {
    throw new MethodNotAllowedError(`route ${found.name} permits ${found.methods.join(', ')}`, {
      execution: ExecutionStatus.notRun
    })
  }
  return found
}

function isPrefix (prefix: string, path: string): boolean {
  const base = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix
  return path === base || path.startsWith(`${base}/`)
}

function hasDotSegment (path: string): boolean {
  return path.split(/[/\\]|%2f|%5c/i).some((segment) => /^(\.|%2e){1,2}$/i.test(segment))
}
