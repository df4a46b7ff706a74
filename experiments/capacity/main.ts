/**
 * Measures the slopes behind docs/CAPACITY.md and prints them as JSON.
 * Run with `npm run capacity`; the figures depend on the machine and on what else it does.
 */
import { measurements, messageSizes } from './measurements'
import { fitLine, measurePoint } from './slope'

const round = (value: number): number => Number(value.toPrecision(4))

const results = measurements.map(({ name, unit, operation, sizes, rounds, prepare }) => {
  const points = sizes.map((size) => measurePoint(size, rounds, prepare))
  const time = fitLine(points.map(({ size, microseconds }) => [size, microseconds]))
  const memory = fitLine(points.map(({ size, bytes }) => [size, bytes]))
  return {
    name,
    unit,
    operation,
    microseconds: Object.fromEntries(points.map((point) => [point.size, round(point.microseconds)])),
    microsecondsBase: round(time.base),
    microsecondsPerUnit: round(time.slope),
    bytes: Object.fromEntries(points.map((point) => [point.size, point.bytes])),
    bytesPerUnit: round(memory.slope)
  }
})
process.stdout.write(JSON.stringify({ node: process.version, results, messages: messageSizes() }, undefined, 2) + '\n')
