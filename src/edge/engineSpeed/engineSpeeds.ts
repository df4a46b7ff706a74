/**
 * Learns the speeds of engines from the times to the first byte, and decides when they replace the constants of the
 * placement.
 *
 * Loads behind these decisions:
 * - Engines of one service differ in speed by a factor of 0.6 to 1.6, and services by a factor of 3. A constant sends the
 *   slow engines as many prompts as the fast ones, and they form queues.
 * - In a fleet of 60 instances and 78 engines an instance sees an answer of each engine once in ten seconds. The samples
 *   of all instances therefore go to the aggregators of the load exchange, and the estimates come back.
 */
import { rendezvousWeight } from '../../rendezvous'
import type { MonotonicMilliseconds } from '../../types'
import { isFleetLoadKnown, type Upstream, type UpstreamDirectory } from '../upstreamDirectory'
import type { UpstreamRun } from '../types'
import { expectedUse } from '../engineRoom/engineUse'
import { adoptSpeed, median, recordSpeedSample } from './speedEstimate'
import { decodeSpeeds, encodeSpeeds, type SpeedEntry } from './speedCodec'

/** Milliseconds for 1,000 prompt tokens that the placement assumes until the engines show another speed. */
export const DEFAULT_MILLISECONDS_PER_1000_TOKENS = 8
/** Fraction by which the speed of an engine must differ from the constant for the learned speeds to replace it. */
const MIN_DIFFERENCE = 0.25
/** The same while the learned speeds are used, so that a service does not alternate between both. */
const KEPT_DIFFERENCE = 0.18
/** Fraction of a service's engines whose speed must be known. */
const MIN_KNOWN_SHARE = 0.25
/** Milliseconds for which the summary of a service and the index of runs are reused. */
const SUMMARY_VALIDITY_MS = 500
/** Prompt tokens from which the time to the first byte shows the speed; for shorter ones it shows the fixed part. */
const MIN_SAMPLE_TOKENS = 1000
/**
 * Largest ratio of the tokens ahead to the own ones. With a longer queue, more urgent prompts that overtake and prompts
 * that are already half processed change the wait by more than the speeds differ. At half of it, an engine that is taken
 * for faster than it is has too long a queue to show its speed.
 */
const MAX_QUEUE_RATIO = 4
/** Milliseconds by which one short prompt changes the fixed part of the time to the first byte. */
const OVERHEAD_STEP_MS = 0.5
const MAX_OVERHEAD_MS = 100
/** Samples that wait for the next message; those of many seconds. */
const MAX_UNSENT_SAMPLES = 500
/** Bounds of an engine's speed relative to the service's median, so that a wrong estimate moves few prefixes. */
const MAX_RELATIVE_SPEED = 2
/** Relative speeds are rounded to this fraction, so that instances with slightly different estimates agree. */
const RELATIVE_SPEED_STEP = 0.25

/** Learned speeds of a service's engines. */
export interface ServiceSpeeds {
  /** Median of the engines in milliseconds for 1,000 prompt tokens that are not cached. */
  median: number
  /** Returns the milliseconds for 1,000 tokens; the median for an engine with too few samples. */
  of: (upstream: Upstream) => number
  /** Returns the speed of an engine relative to the median, rounded. */
  relative: (upstream: Upstream) => number
}

/** A prompt that was sent, as far as it can show the speed of its engine. */
export interface SpeedProbe {
  /** Uncached tokens of the prompt and of those ahead of it. */
  tokens: number
}

export interface EngineSpeeds {
  /** Returns undefined while the constants hold for the service. */
  ofService: (service: string, now: MonotonicMilliseconds) => ServiceSpeeds | undefined
  /** Returns the medians of the services for which learned speeds are used. */
  medians: () => ReadonlyMap<string, number>
  /** Returns the median of the service, or the constant. */
  medianOf: (service: string, now: MonotonicMilliseconds) => number
  /**
   * Returns what is needed to learn from the prompt, before it is counted at the engine; undefined if it shows nothing.
   * @param prefillTokens undefined if it is not known how much of the prompt the engine has cached
   */
  probe: (upstream: Upstream, prefillTokens: number | undefined, now: MonotonicMilliseconds) => SpeedProbe | undefined
  /** @param wait milliseconds from sending the prompt to its first byte */
  observe: (upstream: Upstream, probe: SpeedProbe, wait: number) => void
  /** Returns the encoded samples since the last call, for a message to an aggregator. */
  takeSamples: () => Buffer
  /** Applies samples of other instances. */
  receiveSamples: (value: unknown, now: MonotonicMilliseconds) => void
  /** Passes samples of members on to the other aggregators with the next `takeSamples`. */
  forwardSamples: (value: unknown) => void
  /** Returns the encoded estimates of all engines. */
  encodeEstimates: () => Buffer
  receiveEstimates: (value: unknown, now: MonotonicMilliseconds) => void
}

export interface EngineSpeedsOptions {
  directory: Pick<UpstreamDirectory, 'all' | 'listed'>
  dataCentre: string
}

interface Summary {
  speeds: ServiceSpeeds | undefined
  at: MonotonicMilliseconds
}

function speedKeyOf ({ identifier, startedAt }: UpstreamRun): number {
  return rendezvousWeight('engine speed', `${identifier}/${startedAt}`)
}

export function createEngineSpeeds ({ directory, dataCentre }: EngineSpeedsOptions): EngineSpeeds {
  const summaries = new Map<string, Summary>()
  /** Fixed milliseconds of the time to the first byte, by service and whether the engine is in this data centre. */
  const overheads = new Map<string, number>()
  let unsent: SpeedEntry[] = []
  let index = new Map<number, Upstream>()
  let indexedAt: MonotonicMilliseconds = -Infinity

  function overheadKey ({ entry }: Upstream): string {
    return `${entry.dataCentre === dataCentre ? 'near' : 'far'}/${entry.service}`
  }

  function findRun (key: number, now: MonotonicMilliseconds): Upstream | undefined {
    if (now - indexedAt >= SUMMARY_VALIDITY_MS) {
      index = new Map([...directory.all()].map((upstream) => [speedKeyOf(upstream.entry), upstream]))
      indexedAt = now
    }
    return index.get(key)
  }

  function queue (entries: readonly SpeedEntry[]): void {
    unsent.push(...entries)
    if (unsent.length > MAX_UNSENT_SAMPLES) unsent = unsent.slice(-MAX_UNSENT_SAMPLES / 2)
  }

  function summarize (service: string, wasUsed: boolean): ServiceSpeeds | undefined {
    const engines = directory.listed(service)
    const known = engines.flatMap(({ speed }) => speed.milliseconds ?? [])
    const middle = median(known)
    if (middle === undefined || known.length < engines.length * MIN_KNOWN_SHARE) return undefined
    const threshold = wasUsed ? KEPT_DIFFERENCE : MIN_DIFFERENCE
    const isDifferent = known.some((value) => (
      Math.abs(value / DEFAULT_MILLISECONDS_PER_1000_TOKENS - 1) > threshold
    ))
    if (!isDifferent) return undefined
    return {
      median: middle,
      of: ({ speed }) => speed.milliseconds ?? middle,
      relative ({ speed }) {
        const relative = middle / (speed.milliseconds ?? middle)
        const bounded = Math.min(MAX_RELATIVE_SPEED, Math.max(1 / MAX_RELATIVE_SPEED, relative))
        return Math.round(bounded / RELATIVE_SPEED_STEP) * RELATIVE_SPEED_STEP
      }
    }
  }

  function ofService (service: string, now: MonotonicMilliseconds): ServiceSpeeds | undefined {
    const previous = summaries.get(service)
    if (previous !== undefined && now - previous.at < SUMMARY_VALIDITY_MS) return previous.speeds
    const speeds = summarize(service, previous?.speeds !== undefined)
    summaries.set(service, { speeds, at: now })
    return speeds
  }

  return {
    ofService,
    medians: () => new Map([...summaries].flatMap(([service, { speeds }]) => (
      speeds === undefined ? [] : [[service, speeds.median] as const]
    ))),
    medianOf: (service, now) => ofService(service, now)?.median ?? DEFAULT_MILLISECONDS_PER_1000_TOKENS,
    probe (upstream, prefillTokens, now) {
      if (prefillTokens === undefined || prefillTokens <= 0 || !isFleetLoadKnown(upstream, now)) return undefined
      const ahead = expectedUse(upstream, now).prefillTokens
      return ahead <= prefillTokens * MAX_QUEUE_RATIO ? { tokens: ahead + prefillTokens } : undefined
    },
    observe (upstream, { tokens }, wait) {
      const key = overheadKey(upstream)
      const overhead = overheads.get(key) ?? 0
      if (tokens < MIN_SAMPLE_TOKENS) {
        const speed = upstream.speed.milliseconds ?? DEFAULT_MILLISECONDS_PER_1000_TOKENS
        const expected = overhead + tokens / 1000 * speed
        const changed = overhead + (wait > expected ? OVERHEAD_STEP_MS : -OVERHEAD_STEP_MS)
        overheads.set(key, Math.min(MAX_OVERHEAD_MS, Math.max(0, changed)))
        return
      }
      const milliseconds = Math.max(0, wait - overhead) / tokens * 1000
      recordSpeedSample(upstream.speed, milliseconds)
      queue([{ key: speedKeyOf(upstream.entry), milliseconds, samples: 1 }])
    },
    takeSamples () {
      const bytes = encodeSpeeds(unsent)
      unsent = []
      return bytes
    },
    receiveSamples (value, now) {
      for (const { key, milliseconds } of decodeSpeeds(value)) {
        const upstream = findRun(key, now)
        if (upstream !== undefined) recordSpeedSample(upstream.speed, milliseconds)
      }
    },
    forwardSamples (value) { queue(decodeSpeeds(value)) },
    encodeEstimates: () => encodeSpeeds([...directory.all()].flatMap(({ entry, speed: { milliseconds, samples } }) => (
      milliseconds === undefined ? [] : [{ key: speedKeyOf(entry), milliseconds, samples }]
    ))),
    receiveEstimates (value, now) {
      for (const { key, milliseconds, samples } of decodeSpeeds(value)) {
        const upstream = findRun(key, now)
        if (upstream !== undefined) adoptSpeed(upstream.speed, milliseconds, samples)
      }
    }
  }
}
