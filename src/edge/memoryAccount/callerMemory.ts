/** Wires the account of the bytes held for callers into an edge daemon. */
import { createMemoryAccount, HeldKind, type MemoryAccount } from '../../http/memoryAccount/account'
import {
  callerBounds, DEFAULT_FILE_DESCRIPTORS, DEFAULT_MEMORY_MB, heldBytesBound
} from '../../http/memoryAccount/bounds'
import { heapLimitMb } from '../../http/memoryAccount/processLimits'
import type { MonotonicMilliseconds } from '../../types'
import type { ExchangeContext } from '../exchangeContext'
import { createResponseBuffers } from '../responseBuffers'
import type { EdgeSettings } from '../settings'

export interface CallerMemory {
  account: MemoryAccount
  /** Maximum number of connections of callers. */
  maxConnections: number
  /** What exchanges use to record the bytes that they hold. */
  exchangeMemory: Required<Pick<ExchangeContext, 'responseBuffers' | 'recordPartialEvents' | 'isMemoryTight'>>
}

/** @param limits those of the settings, which may name the memory and the descriptors of the machine */
export function createCallerMemory (
  { memoryMb = DEFAULT_MEMORY_MB, fileDescriptors = DEFAULT_FILE_DESCRIPTORS }: EdgeSettings['limits'],
  now: () => MonotonicMilliseconds
): CallerMemory {
  const { connections, requests } = callerBounds({ memoryMb, fileDescriptors, heapMb: heapLimitMb() })
  const account = createMemoryAccount({
    bound: heldBytesBound(memoryMb),
    maxRequests: requests.forwarded,
    requestBounds: requests
  })
  const record = (kind: HeldKind) => (bytes: number) => { account.add(kind, bytes, now()) }
  return {
    account,
    maxConnections: connections,
    exchangeMemory: {
      responseBuffers: createResponseBuffers(record(HeldKind.upstreamAnswer)),
      recordPartialEvents: record(HeldKind.partialEvent),
      isMemoryTight: account.isTight
    }
  }
}
