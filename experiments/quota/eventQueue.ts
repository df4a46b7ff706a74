/** Events in the order of true time, for trials in which all clocks and delays are simulated. */

export interface EventQueue {
  /** Present true time in milliseconds. */
  now: () => number
  /** Runs `action` at an instant; earlier ones run at once. Events of the same instant run in the order of their entry. */
  at: (time: number, action: () => void) => void
  after: (delay: number, action: () => void) => void
  /** Settles a promise; what follows from it runs before the next event. */
  settle: (action: () => void) => void
  /** Runs all events up to an instant. */
  runUntil: (time: number) => Promise<void>
}

interface Entry {
  time: number
  order: number
  action: () => void
}

export function createEventQueue (): EventQueue {
  const heap: Entry[] = []
  let time = 0
  let order = 0
  let hasSettled = false

  const isBefore = (first: Entry, second: Entry): boolean =>
    first.time < second.time || (first.time === second.time && first.order < second.order)

  function push (entry: Entry): void {
    let index = heap.push(entry) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(entry, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = entry
  }

  function pop (): Entry {
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1
      if (!isBefore(heap[child]!, last)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = last
    return first
  }

  function at (when: number, action: () => void): void {
    push({ time: Math.max(when, time), order: order++, action })
  }

  return {
    now: () => time,
    at,
    after: (delay, action) => { at(time + delay, action) },
    settle (action) {
      hasSettled = true
      action()
    },
    async runUntil (until) {
      while (heap.length > 0 && heap[0]!.time <= until) {
        const { time: when, action } = pop()
        time = when
        action()
        // Enough turns of the microtask queue for the longest chain between two answers of the platform.
        if (hasSettled) for (let turn = 0; turn < 16; turn += 1) await undefined
        hasSettled = false
      }
      time = Math.max(time, until)
    }
  }
}
