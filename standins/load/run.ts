/** Runs a load plan open-loop: each request is sent at its planned time, whatever became of the ones before. */
import { performance } from 'node:perf_hooks'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { PlannedRequest } from './plan'
import type { LoadTarget } from './targets'

/** Longest time that the histograms can hold, in microseconds: one hour. */
const HIGHEST_MICROSECONDS = 3.6e9

export interface Distribution {
  count: number
  /** All in milliseconds. */
  mean: number
  p50: number
  p90: number
  p95: number
  p99: number
  p999: number
  maximum: number
}

export interface LoadReport {
  requests: number
  complete: number
  /** Answers that were not whole or failed, by type of error. */
  errors: Record<string, number>
  /** Time from the planned arrival to the first token. */
  timeToFirstToken: Distribution
  /** Time between two tokens of one answer. */
  timeBetweenTokens: Distribution
  /** Time from the planned arrival to the end of a whole answer. */
  wholeTime: Distribution
  /** How late requests were sent; a large value means that the generator was the bottleneck. */
  sendDelay: Distribution
  tokens: number
  tokensPerSecond: number
  promptTokens: number
  cachedTokens: number
  /** Most requests open at the same time. */
  mostOpen: number
  /** Seconds from the start to the last answer. */
  seconds: number
}

export interface RunOptions {
  /** Most requests open at the same time; later ones wait, and the wait counts. 0 for no limit. @default 0 */
  streams?: number
}

/** Sends all planned requests and resolves with the report after the last answer. */
export async function runLoad (
  plan: readonly PlannedRequest[], target: LoadTarget, options: RunOptions = {}
): Promise<LoadReport> {
  const limit = options.streams === undefined || options.streams <= 0 ? Infinity : options.streams
  const firstToken = createHistogram()
  const betweenTokens = createHistogram()
  const whole = createHistogram()
  const sendDelay = createHistogram()
  const errors: Record<string, number> = {}
  const totals = { complete: 0, tokens: 0, promptTokens: 0, cachedTokens: 0, mostOpen: 0 }
  const waiting: Array<() => void> = []
  const running: Array<Promise<void>> = []
  let open = 0
  const start = performance.now()

  async function send (request: PlannedRequest): Promise<void> {
    if (open >= limit) await new Promise<void>((resolve) => waiting.push(resolve))
    else open++
    totals.mostOpen = Math.max(totals.mostOpen, open)
    const planned = start + request.arrival
    record(sendDelay, performance.now() - planned)
    let last: number | undefined
    const outcome = await target(request, () => {
      const now = performance.now()
      if (last === undefined) record(firstToken, now - planned)
      else record(betweenTokens, now - last)
      last = now
    })
    // A waiting request takes over the place; otherwise it becomes free.
    const next = waiting.shift()
    if (next === undefined) open--
    else next()
    totals.tokens += outcome.tokens
    totals.promptTokens += outcome.promptTokens
    totals.cachedTokens += outcome.cachedTokens
    if (outcome.error === undefined) {
      totals.complete++
      record(whole, performance.now() - planned)
    } else errors[outcome.error] = (errors[outcome.error] ?? 0) + 1
  }

  for (const request of plan) {
    const wait = start + request.arrival - performance.now()
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
    running.push(send(request))
  }
  await Promise.all(running)
  const seconds = (performance.now() - start) / 1000
  return {
    requests: plan.length,
    complete: totals.complete,
    errors,
    timeToFirstToken: describe(firstToken),
    timeBetweenTokens: describe(betweenTokens),
    wholeTime: describe(whole),
    sendDelay: describe(sendDelay),
    tokens: totals.tokens,
    tokensPerSecond: round(totals.tokens / seconds),
    promptTokens: totals.promptTokens,
    cachedTokens: totals.cachedTokens,
    mostOpen: totals.mostOpen,
    seconds: round(seconds)
  }
}

function createHistogram (): Histogram {
  return build({
    lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 3
  })
}

function record (histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(0, Math.round(milliseconds * 1000))))
}

function describe (histogram: Histogram): Distribution {
  const at = (percentile: number): number => round(histogram.getValueAtPercentile(percentile) / 1000)
  return {
    count: histogram.totalCount,
    mean: round(histogram.totalCount === 0 ? 0 : histogram.mean / 1000),
    p50: at(50),
    p90: at(90),
    p95: at(95),
    p99: at(99),
    p999: at(99.9),
    maximum: round(histogram.maxValue / 1000)
  }
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
