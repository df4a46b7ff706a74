/** Bounds of memory and connections that follow from the size of a machine. */

/** Memory in MB of a machine whose settings name none: that of the smallest machines in use. */
export const DEFAULT_MEMORY_MB = 178
/** File descriptors of a machine whose settings name none. */
export const DEFAULT_FILE_DESCRIPTORS = 4096
/** Memory in MB that the process uses without callers: 65 MB measured, and garbage that is collected late. */
const PROCESS_MB = 98
/** Part of the remaining memory that may hold bytes; the rest is for copies, garbage and fragmentation. */
const HELD_PART = 0.4
/** Lowest bound in bytes: two bodies at the usual limit of 4 MB, each held twice while it is put together. */
const MIN_HELD_BYTES = 16 * 1024 * 1024
const BYTES_PER_MB = 1024 * 1024
/** File descriptors for files, listening sockets and connections to other instances and the store. */
const RESERVED_DESCRIPTORS = 200
/** Part of the other descriptors that callers may use; each of their requests may need another one to an upstream. */
const CALLER_PART = 0.5

/** Returns the maximum number of bytes held for callers and upstreams on a machine with this memory in MB. */
export function heldBytesBound (memoryMb: number): number {
  return Math.max(MIN_HELD_BYTES, Math.round((memoryMb - PROCESS_MB) * HELD_PART) * BYTES_PER_MB)
}

/** Returns the maximum number of connections of callers for this number of file descriptors. */
export function connectionBound (fileDescriptors: number): number {
  return Math.max(1, Math.floor((fileDescriptors - RESERVED_DESCRIPTORS) * CALLER_PART))
}
