/**
 * This instance's part of what all instances may do together. Callers reach the instances of their own data centre, and
 * each data centre has about the same number of callers; so every data centre has an equal part, and its instances share
 * that. Parts depend on the list alone: no instance asks another, and cut-off ones keep theirs.
 */
export interface InstanceShares {
  set: (name: string, dataCentre: string) => void
  delete: (name: string) => void
  clear: () => void
  /** Part between 0 and 1 of one instance. */
  share: (dataCentre: string) => number
  count: () => number
}

export function createInstanceShares (): InstanceShares {
  const dataCentres = new Map<string, string>()
  const counts = new Map<string, number>()

  function recount (): void {
    counts.clear()
    for (const dataCentre of dataCentres.values()) counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1)
  }

  return {
    set (name, dataCentre) {
      dataCentres.set(name, dataCentre)
      recount()
    },
    delete (name) {
      dataCentres.delete(name)
      recount()
    },
    clear () {
      dataCentres.clear()
      recount()
    },
    share: (dataCentre) => 1 / Math.max(1, counts.size) / Math.max(1, counts.get(dataCentre) ?? 1),
    count: () => dataCentres.size
  }
}
