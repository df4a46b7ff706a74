/** Restricts the list of upstreams to the data centres that are not evacuated, for calls of the instance itself. */
import type { Upstream, UpstreamDirectory } from '../upstreamDirectory'

export type ReachableDirectory = Pick<UpstreamDirectory, 'all' | 'get'>

/** @param isEvacuated whether nothing may be sent to upstreams of a data centre now */
export function withoutEvacuated (
  directory: ReachableDirectory, isEvacuated: (dataCentre: string) => boolean
): ReachableDirectory {
  const isReachable = ({ entry }: Upstream): boolean => !isEvacuated(entry.dataCentre)
  return {
    all: () => [...directory.all()].filter(isReachable),
    get (identifier) {
      const upstream = directory.get(identifier)
      return upstream !== undefined && isReachable(upstream) ? upstream : undefined
    }
  }
}
