/** Bounds what `serve` holds for callers, by its settings and by what the operating system grants to the process. */
import type { Settings } from '../configuration/settings'
import { createMemoryAccount, type MemoryAccount } from '../http/memoryAccount/account'
import { callerBounds, heldBytesBound, SERVE_USE } from '../http/memoryAccount/bounds'
import { descriptorLimit, heapLimitMb, machineMemoryMb } from '../http/memoryAccount/processLimits'

const BYTES_PER_MB = 1024 * 1024

export interface CallerMemory {
  account: MemoryAccount
  /** Maximum number of connections of callers. */
  maximumConnections: number
}

export function createCallerMemory (limits: Settings['limits']): CallerMemory {
  const memoryMb = limits.memory === undefined ? machineMemoryMb() : limits.memory / BYTES_PER_MB
  const fileDescriptors = limits.descriptors ?? descriptorLimit()
  const { connections, requests } = callerBounds({ memoryMb, fileDescriptors, heapMb: heapLimitMb() }, SERVE_USE)
  const account = createMemoryAccount({
    bound: heldBytesBound(memoryMb, SERVE_USE),
    maxRequests: requests.forwarded,
    requestBounds: requests
  })
  return { account, maximumConnections: Math.min(limits.connections, connections) }
}
