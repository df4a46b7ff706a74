/** Executes calls to plain services: crash check, quota admission, idempotency, run and settlement. */
import {
  IdempotencyConflictError, InvalidRequestError, PlatformUnavailableError, RouterError
} from '../errors'
import { LogEvent } from '../observability/events'
import { MetricName } from '../observability/metrics'
import type { QuotaAccounts } from '../quota/types'
import { EndReason } from '../request/endReason'
import { reservationOwner } from '../request/idempotency'
import type { IdempotencyGuard, Reservation } from '../request/idempotency'
import type { ServiceCall, ServiceResponse } from '../upstream/types'
import { ExecutionStatus } from '../types'
import type { RouteConfiguration, WallClockMilliseconds } from '../types'
import type { Admission } from './admission'
import { rejectCrashingRequest } from './completionExecutor'
import { createServiceRun } from './serviceRun'
import type { ServiceRunOptions } from './serviceRun'

/** Retry-After in seconds if the platform is unavailable. */
const RETRY_SECONDS = 1

const NOT_RUN = ExecutionStatus.notRun

export interface ServiceJob {
  identifier: string
  /** Undefined on an open route, where callers are not authenticated. */
  customer: string | undefined
  route: RouteConfiguration
  fingerprint: string
  method: string
  /** Path and query without the caller's key. */
  target: string
  /** Headers without the caller's key and without hop-by-hop headers. */
  headers: Readonly<Record<string, string | readonly string[]>>
  body: Uint8Array
  /** See `ServiceCall`. */
  reserve?: ServiceCall['reserve']
  idempotencyKey: string | undefined
  signal: AbortSignal
}

export type ServiceExecutor = (job: ServiceJob) => Promise<ServiceResponse>

export interface ServiceExecutorOptions extends ServiceRunOptions {
  admission: Admission
  accounts: Pick<QuotaAccounts, 'settle'>
  guard: IdempotencyGuard
  wallClock: () => WallClockMilliseconds
}

export function createServiceExecutor (options: ServiceExecutorOptions): ServiceExecutor {
  const { admission, accounts, crashes, guard, log, metrics, now } = options
  const run = createServiceRun(options)

  /** Charges the route's cost and runs the call. The charge is refunded if the call certainly did not run. */
  async function runCharged (job: ServiceJob): Promise<ServiceResponse> {
    if (job.customer === undefined || job.route.open) return await runGuarded(job)
    const charge = await admission.admit(job.identifier, job.customer, job.route.cost, job.signal)
    let used = job.route.cost
    try {
      return await runGuarded(job)
    } catch (error) {
      if (error instanceof RouterError && error.execution === NOT_RUN) used = 0
      throw error
    } finally {
      accounts.settle(charge, used, now())
    }
  }

  /** Reserves the idempotency key, if any, before running the call, so that no other instance runs the same request. */
  async function runGuarded (job: ServiceJob): Promise<ServiceResponse> {
    if (job.idempotencyKey === undefined) return await run(job)
    const owner = reservationOwner(job.customer, job.route.name)
    const reserveMemory = async (bytes: number): Promise<void> => { await job.reserve?.(bytes, job.signal) }
    const outcome = await guard.reserve(
      owner, job.idempotencyKey, job.fingerprint, options.wallClock(), reserveMemory
    )
    switch (outcome.kind) {
      case 'run': return await runReserved(job, outcome.reservation)
      case 'stored': {
        const { status, contentType, body } = outcome.response
        return { status, headers: contentType === '' ? {} : { 'content-type': contentType }, body }
      }
      case 'inDoubt':
        throw new IdempotencyConflictError('a request with this idempotency key is running or its outcome is unknown', {
          execution: ExecutionStatus.unknown
        })
      case 'mismatch':
        throw new InvalidRequestError('the idempotency key was used for another request', { execution: NOT_RUN })
      case 'unavailable':
        throw new PlatformUnavailableError('the idempotency key cannot be reserved at the moment', {
          execution: NOT_RUN, retryAfterSeconds: RETRY_SECONDS
        })
    }
  }

  async function runReserved (job: ServiceJob, reservation: Reservation): Promise<ServiceResponse> {
    let response: ServiceResponse
    try {
      response = await run(job)
    } catch (error) {
      // Unless the call certainly did not run, the reservation is kept, so that a retry cannot run it a second time.
      if (error instanceof RouterError && error.execution === NOT_RUN) await guard.release(reservation)
      throw error
    }
    const contentType = response.headers['content-type']
    await guard.complete(reservation, {
      status: response.status, contentType: typeof contentType === 'string' ? contentType : '', body: response.body
    })
    return response
  }

  return async (job) => {
    const { identifier, customer = '', route } = job
    metrics.increment(MetricName.requests, { customer, route: route.name })
    log(LogEvent.requestReceived, { requestIdentifier: identifier, customer, route: route.name, method: job.method })
    try {
      rejectCrashingRequest(crashes, job, now())
      return await runCharged(job)
    } catch (error) {
      const isRouterError = error instanceof RouterError
      const rejected = isRouterError && error.execution === NOT_RUN
      log(rejected ? LogEvent.requestRefused : LogEvent.requestFailed, {
        requestIdentifier: identifier,
        customer,
        route: route.name,
        errorCode: isRouterError ? error.code : 'internal',
        reason: job.signal.aborted
          ? EndReason.callerDisconnected
          : isRouterError ? error.reason ?? error.code : 'internal',
        execution: isRouterError ? error.execution : undefined,
        message: error instanceof Error ? error.message : ''
      }, rejected ? 'info' : 'warn')
      throw error
    }
  }
}
