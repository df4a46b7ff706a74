/**
 * Keeps the requests that an instance holds for a moment. A place that a less urgent request of the same service would
 * get goes to the held request that comes first in the order.
 */
export interface HeldRequest {
  service: string
  /** Priority; 0 is the most urgent. */
  priority: number
  /** Part of the usual time budget of its kind that has passed. */
  age: number
  /** Gives the request a place; it is then admitted. */
  givePlace: () => void
}

export interface HoldQueue {
  add: (request: HeldRequest) => void
  remove: (request: HeldRequest) => void
  /** Returns the held request that comes first, if it is more urgent than one of the given priority. */
  firstBefore: (service: string, priority: number) => HeldRequest | undefined
}

export function createHoldQueue (): HoldQueue {
  const held = new Set<HeldRequest>()
  return {
    add (request) { held.add(request) },
    remove (request) { held.delete(request) },
    firstBefore (service, priority) {
      let first: HeldRequest | undefined
      for (const request of held) {
        if (request.service !== service || request.priority >= priority) continue
        const isBefore = first === undefined || request.priority < first.priority ||
          (request.priority === first.priority && request.age > first.age)
        if (isBefore) first = request
      }
      return first
    }
  }
}
