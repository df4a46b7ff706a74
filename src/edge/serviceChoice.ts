/** Selects the service for a request of a route that splits its traffic by weight. */
import type { EdgeRoute } from './types'

/** @param draw random number, uniform in [0, 1) */
export function chooseService (route: EdgeRoute, draw: number): string {
  const total = route.services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0)
  let remaining = draw * total
  for (const { service, weight } of route.services) {
    remaining -= Math.max(0, weight)
    if (remaining < 0) return service
  }
  return route.services[0]!.service
}
