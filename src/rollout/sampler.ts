/**
 * Counts the requests of one instance by model, version and route for the judgement of rollouts.
 *
 * A first token is slow when it comes later than the 95th percentile of the old version for requests on the same route
 * that had a similar number of tokens to compute. Without this grouping a new version, whose caches are empty at first,
 * would seem slow.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { RolloutSample } from './types'

/** Requests of the old version in a group below which its percentile is not used. */
const MINIMUM_REFERENCE = 20
const REFERENCE_PERCENTILE = 95
/** Drains, i.e. seconds, after which the older half of the reference is dropped. */
const REFERENCE_DRAINS = 60
/** Histograms count in units of 10 microseconds. */
const HISTOGRAM_UNITS_PER_MS = 100
const HIGHEST_MS = 600_000

export interface RequestOutcome {
  model: string
  version: string
  route: string
  failed: boolean
  /** Milliseconds to the first token; undefined when there was none. */
  firstToken: number | undefined
  /** Mean milliseconds between tokens; undefined below two tokens. */
  betweenTokens: number | undefined
  /** Prompt tokens that were not in the cache. */
  computedTokens: number
}

export interface RolloutSampler {
  record: (outcome: RequestOutcome) => void
  /** Returns the counts since the last call. Called once in each reporting interval of 1 s. */
  drain: () => readonly RolloutSample[]
}

export interface RolloutSamplerOptions {
  /** Version that the others of the model are compared with; undefined when no rollout runs. */
  referenceVersion: (model: string) => string | undefined
  /** @default never */
  isBraked?: (model: string, version: string, route: string) => boolean
}

export function createRolloutSampler (options: RolloutSamplerOptions): RolloutSampler {
  const { referenceVersion, isBraked = () => false } = options
  const samples = new Map<string, RolloutSample>()
  const references = new Map<string, Reference>()
  let drains = 0

  function sampleOf (outcome: RequestOutcome): RolloutSample {
    const key = `${outcome.model}\n${outcome.version}\n${outcome.route}`
    let sample = samples.get(key)
    if (sample === undefined) {
      sample = emptySample(outcome.model, outcome.version, outcome.route)
      samples.set(key, sample)
    }
    return sample
  }

  /** True or false when the value can be compared with the reference of the old version, which it joins if it is of that version. */
  function exceeds (key: string, value: number, isReference: boolean): boolean | undefined {
    let reference = references.get(key)
    if (reference === undefined) {
      if (!isReference) return undefined
      reference = createReference()
      references.set(key, reference)
    }
    const limit = reference.limit()
    if (isReference) reference.add(value)
    return limit === undefined ? undefined : value > limit
  }

  return {
    record (outcome) {
      const { model, version, route } = outcome
      const sample = sampleOf(outcome)
      const isReference = version === (referenceVersion(model) ?? version)
      sample.requests++
      if (outcome.failed) sample.failures++
      if (outcome.firstToken !== undefined) {
        sample.firstTokenMilliseconds += outcome.firstToken
        const group = Math.ceil(Math.log2(1 + Math.max(0, outcome.computedTokens)))
        const slow = exceeds(`first\n${model}\n${route}\n${group}`, outcome.firstToken, isReference)
        if (slow !== undefined) sample.firstTokens++
        if (slow === true) sample.slowFirstTokens++
      }
      if (outcome.betweenTokens !== undefined) {
        sample.betweenTokensMilliseconds += outcome.betweenTokens
        const slow = exceeds(`between\n${model}\n${route}`, outcome.betweenTokens, isReference)
        if (slow !== undefined) sample.betweenTokens++
        if (slow === true) sample.slowTokens++
      }
    },
    drain () {
      const result = [...samples.values()].map(sample => {
        return { ...sample, braked: isBraked(sample.model, sample.version, sample.route) }
      })
      samples.clear()
      drains++
      for (const reference of references.values()) reference.refresh(drains % REFERENCE_DRAINS === 0)
      return result
    }
  }
}

function emptySample (model: string, version: string, route: string): RolloutSample {
  return {
    model,
    version,
    route,
    requests: 0,
    failures: 0,
    firstTokens: 0,
    betweenTokens: 0,
    slowFirstTokens: 0,
    slowTokens: 0,
    firstTokenMilliseconds: 0,
    betweenTokensMilliseconds: 0,
    braked: false
  }
}

interface Reference {
  add: (milliseconds: number) => void
  limit: () => number | undefined
  /** Computes the percentile anew; `age` drops the older half when newer values exist. */
  refresh: (age: boolean) => void
}

function createReference (): Reference {
  const create = () => build(
    {
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_MS * HISTOGRAM_UNITS_PER_MS,
      numberOfSignificantValueDigits: 2
    }
  )
  let older: Histogram = create()
  let newer: Histogram = create()
  let limit: number | undefined
  return {
    add (milliseconds) {
      newer.recordValue(Math.max(1, Math.round(Math.min(HIGHEST_MS, milliseconds) * HISTOGRAM_UNITS_PER_MS)))
    },
    limit: () => limit,
    refresh (age) {
      const total = older.totalCount + newer.totalCount
      if (total >= MINIMUM_REFERENCE) {
        const merged = create()
        merged.add(older)
        merged.add(newer)
        limit = merged.getValueAtPercentile(REFERENCE_PERCENTILE) / HISTOGRAM_UNITS_PER_MS
      }
      // At full share the old version gets no requests; its last reference must then stay.
      if (!age || newer.totalCount < MINIMUM_REFERENCE) return
      older = newer
      newer = create()
    }
  }
}
