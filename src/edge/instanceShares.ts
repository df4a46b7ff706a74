/**
 * Computes this instance's share of what all instances together may do. Callers reach the instances of their own data
 * centre, and each data centre has about the same number of callers, so every data centre has an equal share, which its
 * instances divide equally. Shares depend only on the list: instances do not coordinate, and those that are cut off
 * keep their shares.
 */
export interface InstanceShares {
  set: (name: string, dataCentre: string) => void
  delete: (name: string) => void
  clear: () => void
  /** Returns the share of one instance, between 0 and 1. */
  share: (dataCentre: string) => number
  count: () => number
}

export function createInstanceShares (): InstanceShares {
  const dataCentres = new Map<string, string>()
  const counts = new Map<string, number>()

  function updateCounts (): void {
    counts.clear()
    for (const dataCentre of dataCentres.values()) counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1)
  }

  return {
    set (name, dataCentre) {
      dataCentres.set(name, dataCentre)
      updateCounts()
    },
    delete (name) {
      dataCentres.delete(name)
      updateCounts()
    },
    clear () {
      dataCentres.clear()
      updateCounts()
    },
    share: (dataCentre) => 1 / Math.max(1, counts.size) / Math.max(1, counts.get(dataCentre) ?? 1),
    count: () => dataCentres.size
  }
}
