/** Authenticates callers and ends their running requests when their key is withdrawn. */
import { extractKey } from '../customer/keyRemoval'
import type { KeySet } from '../customer/keys'
import { KeyWithdrawnError } from '../errors'
import { ExecutionStatus } from '../types'
import type { MonotonicMilliseconds } from '../types'
import type { CallerIdentity } from './completionTypes'
import type { Exchange } from './exchange'

export interface AuthenticationOptions {
  keys: KeySet
  /** Registers a key value that must not appear in the log. */
  registerKey: (key: string) => void
  now: () => MonotonicMilliseconds
}

export interface Authentication {
  /** @throws AuthenticationError, or NotReadyError when the knowledge of keys is too old. */
  authenticate: (exchange: Exchange) => CallerIdentity
  /**
   * Signal for a running request: aborted with the caller's own signal, or with a `KeyWithdrawnError` when the key is
   * withdrawn. `release` ends the watch.
   */
  watch: (caller: CallerIdentity, signal: AbortSignal) => { signal: AbortSignal, release: () => void }
}

export function createAuthentication (options: AuthenticationOptions): Authentication {
  const running = new Map<string, Set<AbortController>>()
  options.keys.onWithdrawn(({ hash }) => {
    for (const controller of running.get(hash) ?? []) controller.abort(withdrawn())
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
      const leave = (): void => { controller.abort(callerSignal.reason) }
      const controllers = running.get(keyHash) ?? new Set()
      running.set(keyHash, controllers)
      controllers.add(controller)
      callerSignal.addEventListener('abort', leave, { once: true })
      if (callerSignal.aborted) leave()
      // The key may have been withdrawn while the body was read.
      else if (!options.keys.isGranted(keyHash)) controller.abort(withdrawn())
      return {
        signal: controller.signal,
        release () {
          callerSignal.removeEventListener('abort', leave)
          controllers.delete(controller)
          if (controllers.size === 0 && running.get(keyHash) === controllers) running.delete(keyHash)
        }
      }
    }
  }
}

/** What was sent before the withdrawal may have run. */
function withdrawn (): KeyWithdrawnError {
  return new KeyWithdrawnError('the key was withdrawn', { execution: ExecutionStatus.unknown })
}
