/** Composes what restricts the destinations of requests. */
import { createDestinations, type Destinations } from './destinations'
import { createEvacuations, type Evacuations } from './evacuations'

export interface Residency {
  evacuations: Evacuations
  destinations: Destinations
}

/**
 * @param regions region of each data centre, by its name; undefined if the settings name none
 * @param dataCentreOf returns the data centre that an operator's row with this key evacuates, if any
 */
export function createResidency (
  regions: ReadonlyMap<string, string> | undefined, dataCentreOf: (key: string) => string | undefined
): Residency {
  const evacuations = createEvacuations(dataCentreOf)
  return {
    evacuations,
    destinations: createDestinations({ regions: regions ?? new Map(), isEvacuated: evacuations.isEvacuated })
  }
}
