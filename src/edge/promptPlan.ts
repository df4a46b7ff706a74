/** Determines which prompt segments a request shares, and where their cache is fetched from or stored. */
import { storedIdentifier } from './storedIdentifier'
import { RepeatRule } from './types'
import type { AttemptParameters, CacheStore, CallerRequest, EdgeCustomer, EdgeRoute } from './types'
import type { Upstream } from './upstreamDirectory'

/** Shared tokens from which a transfer to or from the store costs less than another prefill. */
const MIN_TRANSFER_TOKENS = 1000
/** Milliseconds until a segment that was sent to the store appears in its events. */
const EXPORT_VISIBILITY_MS = 3000
/** Number of segments remembered as sent to the store. */
const MAX_TRACKED_EXPORTS = 20_000
/** Urgency steps per step of a customer's priority; route priorities subdivide them. */
const URGENCY_STEPS_PER_PRIORITY = 3
const LOWEST_URGENCY = 9

export interface PromptPlan {
  /** Identifies the last shared segment and who may share it; undefined without shared segments. */
  prefixKey: string | undefined
  /** Identifier of the last shared segment. */
  lastSharedSegment: string | undefined
  sharedTokens: number
  promptTokens: number
}

export function planPrompt (request: CallerRequest, customer: EdgeCustomer | undefined): PromptPlan {
  const sharedSegments = request.promptSegments.slice(0, -1)
  const lastSegment = sharedSegments.at(-1)
  const isolationPrefix = customer?.isolated === true ? customer.name : ''
  return {
    prefixKey: lastSegment === undefined ? undefined : `${isolationPrefix}:${storedIdentifier(lastSegment.identifier)}`,
    lastSharedSegment: lastSegment?.identifier,
    sharedTokens: sharedSegments.reduce((sum, segment) => sum + segment.tokens, 0),
    promptTokens: request.tokens?.prompt ?? 0
  }
}

/** Returns the scheduling rank of a request at an engine; the customer's priority takes precedence over the route's. */
export function urgencyOf (route: EdgeRoute, customer: EdgeCustomer | undefined): number | undefined {
  if (route.repeat !== RepeatRule.stream) return undefined
  return Math.min(
    LOWEST_URGENCY,
    (customer?.priority ?? 0) * URGENCY_STEPS_PER_PRIORITY + Math.min(route.priority, URGENCY_STEPS_PER_PRIORITY - 1)
  )
}

/** Decides which segments are sent to the store. */
export interface ExportTracker {
  /** Whether the segment should be sent to the store; if so, records it as sent. */
  shouldExport: (scope: string, segment: string, now: number) => boolean
}

/** @param isStored whether the store is known to hold a segment */
export function createExportTracker (isStored: (scope: string, segment: string) => boolean): ExportTracker {
  const sentAt = new Map<string, number>()
  return {
    shouldExport (scope, segment, now) {
      if (isStored(scope, segment)) return false
      const exportKey = `${scope}/${storedIdentifier(segment)}`
      const previous = sentAt.get(exportKey)
      if (previous !== undefined && now - previous < EXPORT_VISIBILITY_MS) return false
      sentAt.delete(exportKey)
      sentAt.set(exportKey, now)
      const oldest = sentAt.keys().next().value
      if (sentAt.size > MAX_TRACKED_EXPORTS && oldest !== undefined) sentAt.delete(oldest)
      return true
    }
  }
}

export type CacheDirections = Pick<AttemptParameters, 'cacheScope' | 'weightsVersion' | 'importFrom' | 'exportTo'>

const NO_CACHE: CacheDirections = {
  cacheScope: undefined, weightsVersion: undefined, importFrom: undefined, exportTo: undefined
}

export interface CacheDirectionsOptions {
  plan: PromptPlan
  customer: EdgeCustomer | undefined
  model: string | undefined
  upstream: Upstream
  /** Returns the store that is responsible for a segment. */
  storeFor: (scope: string, segment: string) => CacheStore | undefined
  exportTracker: ExportTracker
  /** Scope that no other request uses. */
  uniqueScope: string
}

/**
 * Determines the cache scope and transfers of an attempt. The scope names the model, the weights and, for an isolated
 * customer, the customer, so that every segment cached under it is safe to use.
 */
export function planCache (options: CacheDirectionsOptions, now: number): CacheDirections {
  const { plan, customer, model, upstream, exportTracker, uniqueScope } = options
  if (model === undefined) return NO_CACHE
  const version = upstream.weights.get(model)
  // While the weights are unknown, no cached segment may be used.
  if (version === undefined) return { ...NO_CACHE, cacheScope: `request.${uniqueScope}` }
  const isolationSuffix = customer?.isolated === true ? `.${customer.name}` : ''
  const cacheScope = `${model}.${version}${isolationSuffix}`
  const { lastSharedSegment, sharedTokens } = plan
  if (lastSharedSegment === undefined || sharedTokens < MIN_TRANSFER_TOKENS) {
    return { ...NO_CACHE, cacheScope, weightsVersion: version }
  }
  const store = options.storeFor(cacheScope, lastSharedSegment)
  const shouldExport = store !== undefined && exportTracker.shouldExport(cacheScope, lastSharedSegment, now)
  return {
    cacheScope,
    weightsVersion: version,
    importFrom: store?.endpoint,
    exportTo: shouldExport ? store.endpoint : undefined
  }
}
