/** Authenticates callers and aborts their running requests when their key is withdrawn. */
import { extractKey } from '../customer/keyRemoval'
import type { KeySet } from '../customer/keys'
import { KeyWithdrawnError } from '../errors'
import { ExecutionStatus } from '../types'
import type { MonotonicMilliseconds } from '../types'
import type { CallerIdentity } from './completionTypes'
import type { Exchange } from './exchange'

export interface AuthenticationOptions {
  keys: KeySet
  /** Registers a key value to be redacted in the log. */
  registerKey: (key: string) => void
  now: () => MonotonicMilliseconds
}

export interface Authentication {
  /** @throws AuthenticationError if the key is missing or invalid, NotReadyError if the list of keys is too old. */
  authenticate: (exchange: Exchange) => CallerIdentity
  /**
   * Returns a signal for a running request. It is aborted together with the caller's own signal, or with a
   * `KeyWithdrawnError` when the key is withdrawn. `release` stops watching the key and the caller.
   */
  watch: (caller: CallerIdentity, signal: AbortSignal) => { signal: AbortSignal, release: () => void }
}

export function createAuthentication (options: AuthenticationOptions): Authentication {
  const running = new Map<string, Set<AbortController>>()
  options.keys.onWithdrawn(({ hash }) => {
    for (const controller of running.get(hash) ?? []) controller.abort(createWithdrawnError())
  })
  return {
    authenticate ({ request, path, query }) {
      const key = extractKey({ headers: request.headers, path: path + query })
      if (key !== undefined) options.registerKey(key)
      const { customer, hash } = options.keys.authenticate(key, options.now())
      return { customer, keyHash: hash }
    },
    watch ({ keyHash }, callerSignal) {
      const controller = new AbortController()
      const onCallerAbort = (): void => { controller.abort(callerSignal.reason) }
      const controllers = running.get(keyHash) ?? new Set()
      running.set(keyHash, controllers)
      controllers.add(controller)
      callerSignal.addEventListener('abort', onCallerAbort, { once: true })
      if (callerSignal.aborted) onCallerAbort()
      // The key may have been withdrawn while the body was being read.
      else if (!options.keys.isGranted(keyHash)) controller.abort(createWithdrawnError())
      return {
        signal: controller.signal,
        release () {
          callerSignal.removeEventListener('abort', onCallerAbort)
          controllers.delete(controller)
          if (controllers.size === 0 && running.get(keyHash) === controllers) running.delete(keyHash)
        }
      }
    }
  }
}

/** The execution status is `unknown`, because the request may have been sent to an upstream before the withdrawal. */
function createWithdrawnError (): KeyWithdrawnError {
  return new KeyWithdrawnError('the key was withdrawn', { execution: ExecutionStatus.unknown })
}
