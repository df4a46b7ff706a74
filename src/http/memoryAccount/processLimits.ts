/** What the operating system grants to the process. */
import { totalmem } from 'node:os'
import { getHeapStatistics } from 'node:v8'
import { DEFAULT_FILE_DESCRIPTORS } from './bounds'

/** Maximum in MB that is counted on: the heap of Node.js, which holds the objects of requests, does not grow further. */
const MAX_COUNTED_MB = 2048

/** Returns the memory in MB of the machine, or of the control group of the process if that is less. */
export function machineMemoryMb (): number {
  const constrained = process.constrainedMemory()
  const bytes = constrained > 0 ? Math.min(constrained, totalmem()) : totalmem()
  return Math.min(MAX_COUNTED_MB, bytes / 1024 / 1024)
}

/** Returns the size in MB to which the heap of Node.js may grow, as its command line or the machine sets it. */
export function heapLimitMb (): number {
  return getHeapStatistics().heap_size_limit / 1024 / 1024
}

/** Returns the number of file descriptors that the process may open. */
export function descriptorLimit (): number {
  const report = process.report.getReport() as { userLimits?: { open_files?: { soft: number | string } } }
  const limit = Number(report.userLimits?.open_files?.soft)
  return Number.isFinite(limit) ? limit : DEFAULT_FILE_DESCRIPTORS
}
