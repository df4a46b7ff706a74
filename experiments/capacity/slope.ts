/** Least-squares lines through measured points, and the measurement of time and heap growth. */
import { performance } from 'node:perf_hooks'

export interface Point {
  size: number
  /** Microseconds of one operation. */
  microseconds: number
  /** Bytes of heap and array buffers that the state of this size holds. */
  bytes: number
}

export interface Line {
  /** Value at size 0. */
  base: number
  /** Growth for each unit of size. */
  slope: number
}

/** Least-squares line through at least two points. */
export function fitLine (points: ReadonlyArray<readonly [number, number]>): Line {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  let covariance = 0
  let variance = 0
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY)
    variance += (x - meanX) ** 2
  }
  const slope = variance === 0 ? 0 : covariance / variance
  return { base: meanY - slope * meanX, slope }
}

/** States built at once, since the heap's own growth would hide a single small one. */
const COPIES = 8

/** What one measurement prepares: the state to keep alive and the operation to time. */
export interface Prepared {
  state: unknown
  operation: (round: number) => void
}

/** Builds the state, measures what it holds, and times the operation in the fastest of several batches. */
export function measurePoint (size: number, rounds: number, prepare: (size: number) => Prepared): Point {
  prepare(Math.min(size, 8))
  const before = usedBytes()
  const copies = Array.from({ length: COPIES }, () => prepare(size))
  const bytes = (usedBytes() - before) / COPIES
  const prepared = copies[0]!
  let fastest = Infinity
  for (let batch = 0; batch < 7; batch += 1) {
    const start = performance.now()
    for (let round = 0; round < rounds; round += 1) prepared.operation(batch * rounds + round)
    // Other work on the machine only ever adds time, so the fastest batch is closest to the cost itself.
    fastest = Math.min(fastest, (performance.now() - start) * 1000 / rounds)
  }
  return { size, microseconds: fastest, bytes: prepared.state === undefined ? 0 : Math.max(0, Math.round(bytes)) }
}

function usedBytes (): number {
  for (let pass = 0; pass < 3; pass += 1) globalThis.gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}
