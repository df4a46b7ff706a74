/** Chooses the service of a route that splits its requests. */
import type { EdgeRoute } from './types'

/** @param draw uniform in [0, 1) */
export function chooseService (route: EdgeRoute, draw: number): string {
  const total = route.services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0)
  let left = draw * total
  for (const { service, weight } of route.services) {
    left -= Math.max(0, weight)
    if (left < 0) return service
  }
  return route.services[0]!.service
}
