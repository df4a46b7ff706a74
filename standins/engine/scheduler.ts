/**
 * Continuous batching of the engine stand-in. Prefill is one queue by priority; all sequences in decode get one token
 * in each step. The step lengthens with the number of sequences, as on real accelerators.
 */

export interface SchedulerOptions {
  /** Prompt tokens per second, for one prompt at a time. */
  prefillTokensPerSecond: number
  /** Tokens per second of one sequence that decodes alone. */
  decodeTokensPerSecond: number
  /** Sequences in decode at the same time. */
  slots: number
  /** Relative length of a step with all slots in use. @default 1.5 */
  fullBatchFactor?: number
  /** Milliseconds of a monotonic clock. */
  now: () => number
}

export interface Sequence {
  priority: number
  /** Prompt tokens to compute, known when prefill begins. */
  beginPrefill: () => number
  finishPrefill: () => void
  /** Sends the next token. Returns `done` when the sequence has ended and `blocked` when its reader is slow. */
  step: () => 'more' | 'done' | 'blocked'
  /** Factor by which this sequence is slowed; the batch runs at the pace of the slowest. */
  slowFactor: () => number
  /** Prompt tokens, for the report. */
  promptTokens: number
}

export interface Scheduler {
  add: (sequence: Sequence) => void
  remove: (sequence: Sequence) => void
  running: () => number
  waiting: () => number
  waitingTokens: () => number
  close: () => void
}

/** Most tokens sent at once to make up for a late timer. */
const CATCH_UP_STEPS = 50

/** Creates a scheduler without work. */
export function createScheduler (options: SchedulerOptions): Scheduler {
  const { now, slots, fullBatchFactor = 1.5 } = options
  const queue: Sequence[] = []
  const decoding = new Set<Sequence>()
  let prefilling: Sequence | undefined
  let prefillTimer: NodeJS.Timeout | undefined
  let stepTimer: NodeJS.Timeout | undefined
  let stepDue = 0
  let closed = false

  function startPrefill (): void {
    if (closed) return
    while (prefilling === undefined && queue.length > 0 && decoding.size < slots) {
      let best = 0
      for (let index = 1; index < queue.length; index++) {
        if ((queue[index]?.priority ?? 0) > (queue[best]?.priority ?? 0)) best = index
      }
      const [sequence] = queue.splice(best, 1)
      if (sequence === undefined) return
      prefilling = sequence
      const milliseconds = sequence.beginPrefill() / options.prefillTokensPerSecond * 1000 * sequence.slowFactor()
      if (prefilling !== sequence) continue
      const finish = (): void => finishPrefill(sequence)
      if (milliseconds < 0.5) setImmediate(finish)
      else prefillTimer = setTimeout(finish, milliseconds)
    }
  }

  function finishPrefill (sequence: Sequence): void {
    if (prefilling !== sequence || closed) return
    prefilling = undefined
    sequence.finishPrefill()
    decoding.add(sequence)
    if (stepTimer === undefined) {
      stepDue = now()
      runSteps()
    }
    startPrefill()
  }

  function stepMilliseconds (): number {
    const load = slots <= 1 ? 0 : (decoding.size - 1) / (slots - 1)
    let slowest = 1
    for (const sequence of decoding) slowest = Math.max(slowest, sequence.slowFactor())
    return 1000 / options.decodeTokensPerSecond * (1 + (fullBatchFactor - 1) * load) * slowest
  }

  function runSteps (): void {
    stepTimer = undefined
    if (closed) return
    const interval = stepMilliseconds()
    for (let count = 0; count < CATCH_UP_STEPS && decoding.size > 0 && stepDue <= now(); count++) {
      for (const sequence of [...decoding]) {
        if (decoding.has(sequence) && sequence.step() === 'done') decoding.delete(sequence)
      }
      stepDue += interval
    }
    startPrefill()
    if (decoding.size === 0) return
    if (stepDue < now()) stepDue = now()
    stepTimer = setTimeout(runSteps, Math.max(0, stepDue - now()))
  }

  return {
    add (sequence) {
      queue.push(sequence)
      startPrefill()
    },
    remove (sequence) {
      const index = queue.indexOf(sequence)
      if (index >= 0) queue.splice(index, 1)
      decoding.delete(sequence)
      if (prefilling === sequence) {
        clearTimeout(prefillTimer)
        prefilling = undefined
      }
      startPrefill()
    },
    running: () => decoding.size + (prefilling === undefined ? 0 : 1),
    waiting: () => queue.length,
    waitingTokens: () => queue.reduce((sum, sequence) => sum + sequence.promptTokens, prefilling?.promptTokens ?? 0),
    close () {
      closed = true
      clearTimeout(prefillTimer)
      clearTimeout(stepTimer)
    }
  }
}
