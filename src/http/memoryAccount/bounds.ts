/** Bounds of memory and connections that follow from the size of a machine. */
import type { RequestBounds } from './requestShares'

/** Memory in MB of a machine whose settings name none: that of the smallest machines in use. */
export const DEFAULT_MEMORY_MB = 178
/** File descriptors of a machine whose settings name none. */
export const DEFAULT_FILE_DESCRIPTORS = 4096
/** What a process uses without callers, in MB, and garbage that is collected late. */
export interface ProcessUse {
  memoryMb: number
  heapMb: number
}
/** An edge daemon, measured with 65 MB. */
export const EDGE_USE: Readonly<ProcessUse> = { memoryMb: 98, heapMb: 12 }
/** `serve`, measured with 113 MB and 19 MB of heap; parsing prompts leaves more garbage. */
export const SERVE_USE: Readonly<ProcessUse> = { memoryMb: 192, heapMb: 28 }
/** Part of the remaining memory that may hold bytes; the rest is for copies, garbage and fragmentation. */
const HELD_PART = 0.4
/** Lowest bound in bytes: two bodies at the usual limit of 4 MB, each held twice while it is put together. */
const MIN_HELD_BYTES = 16 * 1024 * 1024
const BYTES_PER_MB = 1024 * 1024
/** File descriptors for files, listening sockets and connections to other instances and the store. */
const RESERVED_DESCRIPTORS = 200
/** Part of the other descriptors that callers may use; each of their requests may need another one to an upstream. */
const CALLER_PART = 0.5

/** Part of the remaining heap that the objects of callers may use; the rest is for garbage. */
const OBJECT_PART = 0.5
/** Lowest bound of these objects in bytes. */
const MIN_OBJECT_BYTES = 8 * 1024 * 1024
/** Part of these objects that may belong to connections. */
const CONNECTION_OBJECT_PART = 0.5
/** Bytes of objects of one connection, rounded up from a trial. */
const CONNECTION_OBJECT_BYTES = 12_288

/** Returns the maximum number of bytes held for callers and upstreams on a machine with this memory in MB. */
export function heldBytesBound (memoryMb: number, use = EDGE_USE): number {
  return Math.max(MIN_HELD_BYTES, Math.round((memoryMb - use.memoryMb) * HELD_PART) * BYTES_PER_MB)
}

/** Returns the maximum number of connections of callers for this number of file descriptors. */
export function connectionBound (fileDescriptors: number): number {
  return Math.max(1, Math.floor((fileDescriptors - RESERVED_DESCRIPTORS) * CALLER_PART))
}

export interface CallerBounds {
  /** Maximum number of connections of callers. */
  connections: number
  requests: RequestBounds
}

export interface ProcessLimits {
  memoryMb: number
  fileDescriptors: number
  /** Size in MB to which the heap may grow. */
  heapMb: number
}

/**
 * Returns the bounds of connections and requests. The objects of all connections are set aside, so that connections that are
 * opened later leave room for requests.
 */
export function callerBounds ({ memoryMb, fileDescriptors, heapMb }: ProcessLimits, use = EDGE_USE): CallerBounds {
  const byHeapSize = Math.max(MIN_OBJECT_BYTES, Math.round((heapMb - use.heapMb) * OBJECT_PART * BYTES_PER_MB))
  const objectBytes = Math.min(byHeapSize, heldBytesBound(memoryMb, use))
  const byDescriptors = connectionBound(fileDescriptors)
  const byObjects = Math.floor(objectBytes * CONNECTION_OBJECT_PART / CONNECTION_OBJECT_BYTES)
  const connections = Math.min(byDescriptors, byObjects)
  return {
    connections,
    requests: {
      objectBytes: objectBytes - connections * CONNECTION_OBJECT_BYTES,
      // Half as many as there are descriptors left, as a request may have two upstreams for a while.
      forwarded: Math.ceil(byDescriptors / 2)
    }
  }
}
