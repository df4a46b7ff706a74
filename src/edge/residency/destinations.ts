/**
 * Decides in which data centres a request may be sent to an upstream or a cache store.
 *
 * Load pattern: callers whose data must stay in some regions, beside others whose requests go wherever there is room; and
 * an operator who empties a data centre while requests wait for its upstreams.
 */
import type { EdgeCustomer, EdgeRoute } from '../types'

/** An upstream, by where it is. */
interface Located {
  entry: { dataCentre: string }
}

/** A request, by what restricts its destinations. */
export interface RestrictedRequest {
  route: Pick<EdgeRoute, 'allowedRegions'>
  customer: Pick<EdgeCustomer, 'allowedRegions'> | undefined
}

export const DestinationObstacle = {
  /** No data centre of the service is in a region that the route and the customer allow. */
  homes: 'homes',
  /** Those that are, or all, are evacuated. */
  evacuated: 'evacuated'
} as const
export type DestinationObstacle = typeof DestinationObstacle[keyof typeof DestinationObstacle]

export interface Destinations {
  /** Whether the regions that the request allows contain the data centre. */
  isAllowed: (dataCentre: string, request: RestrictedRequest) => boolean
  /** Whether the request may be sent to upstreams of the data centre now. */
  isPermitted: (dataCentre: string, request: RestrictedRequest) => boolean
  /** Returns the upstreams to which the request may be sent now. */
  selectPermitted: <Candidate extends Located>(
    upstreams: readonly Candidate[], request: RestrictedRequest
  ) => Candidate[]
  /**
   * Returns what keeps the request from all of the data centres; undefined if nothing does, or if there are none.
   * @param dataCentres those of the upstreams that would get it otherwise
   */
  findObstacle: (dataCentres: readonly string[], request: RestrictedRequest) => DestinationObstacle | undefined
}

export interface DestinationsOptions {
  /** Region of each data centre, by its name. */
  regions: ReadonlyMap<string, string>
  isEvacuated: (dataCentre: string) => boolean
}

export function createDestinations ({ regions, isEvacuated }: DestinationsOptions): Destinations {
  /** An absent or empty list allows all regions; a data centre without a region is in none of a list. */
  function isListed (dataCentre: string, allowedRegions: readonly string[] | undefined): boolean {
    if (allowedRegions === undefined || allowedRegions.length === 0) return true
    const region = regions.get(dataCentre)
    return region !== undefined && allowedRegions.includes(region)
  }

  function isAllowed (dataCentre: string, { route, customer }: RestrictedRequest): boolean {
    return isListed(dataCentre, route.allowedRegions) && isListed(dataCentre, customer?.allowedRegions)
  }

  function isPermitted (dataCentre: string, request: RestrictedRequest): boolean {
    return !isEvacuated(dataCentre) && isAllowed(dataCentre, request)
  }

  return {
    isAllowed,
    isPermitted,
    selectPermitted: (upstreams, request) => upstreams.filter(({ entry }) => isPermitted(entry.dataCentre, request)),
    findObstacle (dataCentres, request) {
      if (dataCentres.length === 0) return undefined
      const allowed = dataCentres.filter((dataCentre) => isAllowed(dataCentre, request))
      if (allowed.length === 0) return DestinationObstacle.homes
      return allowed.every(isEvacuated) ? DestinationObstacle.evacuated : undefined
    }
  }
}
