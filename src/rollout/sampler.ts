/**
 * Counts the requests of one instance by model, version and route for the canary analysis of rollouts.
 *
 * A first token is slow when its time exceeds the 95th percentile of the old version for requests on the same route
 * with a similar number of prompt tokens to compute. Without this grouping, a new version would seem slow because its
 * caches are empty at first. The percentiles are not updated while another version receives requests, so that the
 * definition of slow stays the same throughout a rollout; a percentile that followed a traffic peak would hide a slow
 * version afterwards.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { emptySample } from './emptySample'
import type { RolloutSample } from './types'

/** Minimum number of requests of the old version in a group for its percentile to be used. */
const MINIMUM_REFERENCE_REQUESTS = 20
const REFERENCE_PERCENTILE = 95
/**
 * Multiples of the reference above which a response is very slow. Even more than twice the usual load does not cause
 * such times.
 */
const VERY_SLOW_FIRST_TOKEN_FACTOR = 3
const VERY_SLOW_TOKENS_FACTOR = 1.5
/** Number of drains (one per second) without requests on another version after which percentiles are updated again. */
const HOLD_DRAINS = 30
/** Number of drains (one per second) after which the older half of the reference data is dropped. */
const ROTATION_DRAINS = 60
/** Histograms use a resolution of 0.1 ms. */
const HISTOGRAM_UNITS_PER_MS = 10
const HIGHEST_MS = 120_000
/** Fraction of new values above which the percentile is recomputed. */
const REFRESH_FRACTION = 0.05

export interface RequestOutcome {
  model: string
  version: string
  route: string
  failed: boolean
  /** Time to first token in milliseconds; undefined when there was none. */
  firstToken: number | undefined
  /** Mean time between tokens in milliseconds; undefined for fewer than two tokens. */
  betweenTokens: number | undefined
  /** Prompt tokens that were not in the cache. */
  computedTokens: number
}

export interface RolloutSampler {
  record: (outcome: RequestOutcome) => void
  /** Returns the counts since the last call. Called once per reporting interval of 1 s. */
  drain: () => readonly RolloutSample[]
}

export interface RolloutSamplerOptions {
  /** Returns the version with which other versions of the model are compared; undefined when no rollout is running. */
  referenceVersion: (model: string) => string | undefined
  /** Returns whether this instance withholds its requests from the version on this route. @default never */
  isCircuitOpen?: (model: string, version: string, route: string) => boolean
}

export function createRolloutSampler (options: RolloutSamplerOptions): RolloutSampler {
  const { referenceVersion, isCircuitOpen = () => false } = options
  const samples = new Map<string, RolloutSample>()
  const references = new Map<string, Reference>()
  /** Number of the drain at which a model last had requests on a version other than the reference. */
  const lastComparedAt = new Map<string, number>()
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

  /**
   * Returns the value as a multiple of the old version's reference, or undefined when there is no reference. A value of
   * the old version itself is added to the reference.
   */
  function ratioToReference (model: string, key: string, value: number, isReference: boolean): number | undefined {
    let reference = references.get(key)
    if (reference === undefined) {
      if (!isReference) return undefined
      reference = createReference(model)
      references.set(key, reference)
    }
    const limit = reference.limit()
    if (isReference) reference.add(value)
    return limit === undefined ? undefined : value / limit
  }

  return {
    record (outcome) {
      const { model, version, route } = outcome
      const sample = sampleOf(outcome)
      const isReference = version === (referenceVersion(model) ?? version)
      if (!isReference) lastComparedAt.set(model, drains)
      sample.requests++
      if (outcome.failed) sample.failures++
      if (outcome.firstToken !== undefined) {
        sample.firstTokenMilliseconds += outcome.firstToken
        const group = Math.ceil(Math.log2(1 + Math.max(0, outcome.computedTokens)))
        const ratio = ratioToReference(model, `first\n${model}\n${route}\n${group}`, outcome.firstToken, isReference)
        if (ratio !== undefined) sample.firstTokens++
        if (ratio !== undefined && ratio > 1) sample.slowFirstTokens++
        if (ratio !== undefined && ratio > VERY_SLOW_FIRST_TOKEN_FACTOR) sample.verySlowFirstTokens++
      }
      if (outcome.betweenTokens !== undefined) {
        sample.betweenTokensMilliseconds += outcome.betweenTokens
        const ratio = ratioToReference(model, `between\n${model}\n${route}`, outcome.betweenTokens, isReference)
        if (ratio !== undefined) sample.betweenTokens++
        if (ratio !== undefined && ratio > 1) sample.slowTokens++
        if (ratio !== undefined && ratio > VERY_SLOW_TOKENS_FACTOR) sample.verySlowTokens++
      }
    },
    drain () {
      const result = [...samples.values()].map(sample => {
        return { ...sample, braked: isCircuitOpen(sample.model, sample.version, sample.route) }
      })
      samples.clear()
      drains++
      for (const reference of references.values()) {
        const held = drains - (lastComparedAt.get(reference.model) ?? -Infinity) <= HOLD_DRAINS
        // A reference without a percentile is refreshed even while percentiles are held, since a late one is better
        // than none.
        if (!held || reference.limit() === undefined) reference.refresh(drains % ROTATION_DRAINS === 0)
      }
      return result
    }
  }
}

interface Reference {
  model: string
  add: (milliseconds: number) => void
  limit: () => number | undefined
  /** Recomputes the percentile; `rotate` drops the older half of the data when there are enough newer values. */
  refresh: (rotate: boolean) => void
}

function createReference (model: string): Reference {
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
  let addedSinceRefresh = 0
  return {
    model,
    add (milliseconds) {
      addedSinceRefresh++
      newer.recordValue(Math.max(1, Math.round(Math.min(HIGHEST_MS, milliseconds) * HISTOGRAM_UNITS_PER_MS)))
    },
    limit: () => limit,
    refresh (rotate) {
      const total = older.totalCount + newer.totalCount
      if (total >= MINIMUM_REFERENCE_REQUESTS && addedSinceRefresh > total * REFRESH_FRACTION) {
        addedSinceRefresh = 0
        const merged = create()
        merged.add(older)
        merged.add(newer)
        limit = merged.getValueAtPercentile(REFERENCE_PERCENTILE) / HISTOGRAM_UNITS_PER_MS
      }
      // At full share the old version receives no requests, and its last reference must be kept.
      if (!rotate || newer.totalCount < MINIMUM_REFERENCE_REQUESTS) return
      older = newer
      newer = create()
    }
  }
}
