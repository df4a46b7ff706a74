/** Faults of the engine stand-in, switched on over `/control/faults`. */

/** When a fault of a version applies. All given conditions must hold. */
export interface FaultCondition {
  /** Only after this many requests to the version. */
  afterRequests?: number
  /** Only while more than this many requests run or wait. */
  aboveConcurrent?: number
  /** Only for requests with this label, which is the text after `label=` in the prompt. */
  label?: string
}

export interface EngineFaults {
  /** Prompts that contain one of these texts crash the engine when their prefill begins. */
  crashOnText: readonly string[]
  /** `existing`: connections that are open now go silent for good; `all`: new ones as well. */
  silence: 'off' | 'existing' | 'all'
  /** Factor by which prefill and decode are slowed. */
  slowFactor: number
  /** Part of the requests that fail, by version. */
  failVersions: Readonly<Record<string, FaultCondition & { fraction: number, afterTokens?: number }>>
  /** Factor by which a version is slowed. */
  slowVersions: Readonly<Record<string, FaultCondition & { factor: number }>>
  /** Condition of the faults of single answers: crossed, late, replayed, truncated, lost and refused. */
  when: FaultCondition
  /** Probability with which a chunk carries the echo of another request. */
  crossedAnswers: number
  /** Milliseconds by which each chunk is held back. */
  lateAnswers: number
  /** Precedes an answer with a chunk of the previous answer on the same connection. */
  replayPrevious: boolean
  /** Probability with which a stream ends without its final chunk. */
  truncatedStreams: number
  /** Probability with which a chunk is left out. */
  lostChunks: number
  /** Probability with which a request is refused before it runs. */
  refuse: number
  /** Milliseconds after which cache events become visible. */
  eventLag: number
  /** Probability with which a cache event is lost. */
  eventLoss: number
  /** Milliseconds between renewals of the report. */
  reportLag: number
  /** Orders with a stale fencing token are obeyed. */
  ignoreFencing: boolean
  /** Versions whose load fails. */
  failLoads: readonly string[]
}

/** All faults off. */
export function createEngineFaults (): EngineFaults {
  return {
    crashOnText: [],
    silence: 'off',
    slowFactor: 1,
    failVersions: {},
    slowVersions: {},
    when: {},
    crossedAnswers: 0,
    lateAnswers: 0,
    replayPrevious: false,
    truncatedStreams: 0,
    lostChunks: 0,
    refuse: 0,
    eventLag: 0,
    eventLoss: 0,
    reportLag: 0,
    ignoreFencing: false,
    failLoads: []
  }
}

/** Label of a prompt, for faults that concern one route only. */
export function promptLabel (prompt: string): string {
  return /label=([\w-]+)/.exec(prompt)?.[1] ?? ''
}

/** Whether a fault's conditions hold. */
export function conditionHolds (
  condition: FaultCondition, state: { requests: number, concurrent: number, label: string }
): boolean {
  return state.requests > (condition.afterRequests ?? 0) &&
    state.concurrent > (condition.aboveConcurrent ?? -1) &&
    (condition.label === undefined || condition.label === state.label)
}
