/** Tracks the prompt tokens pending prefill at each engine, as reported between instances. */
import { rendezvousWeight } from '../rendezvous'
import type { MonotonicMilliseconds } from '../types'

/** Prompt tokens pending prefill, by engine key. */
export type EngineLoad = ReadonlyMap<number, number>

/** Milliseconds for which a report of another instance is valid; a prefill takes less. */
const REPORT_VALIDITY_MS = 500
/** Bytes per engine: its key, and its tokens in units of `TOKEN_UNIT`. */
const ENTRY_BYTES = 6
const TOKEN_UNIT = 16
const MAX_UNITS = 0xffff

/** Identifies an engine in four bytes; two engines with the same key share their loads. */
export function loadKeyOf (identifier: string): number {
  return rendezvousWeight('engine load', identifier)
}

export function encodeLoad (load: EngineLoad): Buffer {
  const bytes = Buffer.alloc(load.size * ENTRY_BYTES)
  let offset = 0
  for (const [key, tokens] of load) {
    bytes.writeUInt32LE(key, offset)
    bytes.writeUInt16LE(Math.min(MAX_UNITS, Math.ceil(Math.max(0, tokens) / TOKEN_UNIT)), offset + 4)
    offset += ENTRY_BYTES
  }
  return bytes
}

/** Returns undefined when the value is not an encoded load. */
export function decodeLoad (value: unknown): EngineLoad | undefined {
  if (!(value instanceof Uint8Array) || value.length % ENTRY_BYTES !== 0) return undefined
  const bytes = Buffer.from(value.buffer, value.byteOffset, value.length)
  const load = new Map<number, number>()
  for (let offset = 0; offset < bytes.length; offset += ENTRY_BYTES) {
    load.set(bytes.readUInt32LE(offset), bytes.readUInt16LE(offset + 4) * TOKEN_UNIT)
  }
  return load
}

/** Keeps the newest values reported by each sender, by engine key. */
export interface EngineReports<Value> {
  record: (name: string, values: ReadonlyMap<number, Value>, now: MonotonicMilliseconds) => void
  /** Returns the sum of `own` and all recent reports. */
  sum: (own: ReadonlyMap<number, Value>, now: MonotonicMilliseconds) => ReadonlyMap<number, Value>
}

export function createEngineReports<Value> (add: (one: Value, other: Value) => Value): EngineReports<Value> {
  const reports = new Map<string, { values: ReadonlyMap<number, Value>, at: MonotonicMilliseconds }>()
  return {
    record (name, values, now) { reports.set(name, { values, at: now }) },
    sum (own, now) {
      const total = new Map(own)
      for (const [name, { values, at }] of reports) {
        if (now - at >= REPORT_VALIDITY_MS) {
          reports.delete(name)
          continue
        }
        for (const [key, value] of values) {
          const present = total.get(key)
          total.set(key, present === undefined ? value : add(present, value))
        }
      }
      return total
    }
  }
}

export function createReportedLoads (): EngineReports<number> {
  return createEngineReports((one, other) => one + other)
}
