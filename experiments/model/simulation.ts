/** Event loop of a simulated run: callbacks in order of time, and of scheduling for equal times. */

export interface Simulation {
  now: () => number
  /** Calls back after a delay in milliseconds. */
  after: (delay: number, callback: () => void) => void
  /** Runs until no callback is left or the time limit in milliseconds is reached. */
  run: (until: number) => void
}

interface Scheduled {
  time: number
  sequence: number
  callback: () => void
}

export function createSimulation (): Simulation {
  /** Binary heap; the earliest entry is the first. */
  const heap: Scheduled[] = []
  let time = 0
  let sequence = 0

  const isBefore = (left: Scheduled, right: Scheduled): boolean =>
    left.time < right.time || (left.time === right.time && left.sequence < right.sequence)

  function push (entry: Scheduled): void {
    let position = heap.length
    heap.push(entry)
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (!isBefore(entry, heap[parent]!)) break
      heap[position] = heap[parent]!
      position = parent
    }
    heap[position] = entry
  }

  function pop (): Scheduled {
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    let position = 0
    for (;;) {
      let child = position * 2 + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++
      if (!isBefore(heap[child]!, last)) break
      heap[position] = heap[child]!
      position = child
    }
    heap[position] = last
    return first
  }

  return {
    now: () => time,
    after (delay, callback) {
      push({ time: time + Math.max(0, delay), sequence: sequence++, callback })
    },
    run (until) {
      while (heap.length > 0 && heap[0]!.time <= until) {
        const entry = pop()
        time = entry.time
        entry.callback()
      }
      time = Math.max(time, until)
    }
  }
}
