/** Status of one instance, served to operators by `GET /control/status`. */
import type { InstanceIdentity, InstanceState } from './composeState'
import type { MonotonicMilliseconds } from './types'

export interface StatusOptions {
  identity: InstanceIdentity
  state: InstanceState
  /** Returns the reason why the instance is not ready, or undefined if it is. */
  reasonNotReady: () => string | undefined
  isStopping: () => boolean
  peers: () => ReadonlyArray<{ instance: string, incarnation: number, dataCentre: string }>
  openRequests: () => number
  waitingRequests: () => number
  pendingWrites: () => number
  platformError: () => string | undefined
  now: () => MonotonicMilliseconds
}

/** Creates the status report as plain JSON data. Contains no keys, only their count, age and version. */
export function createStatusReport (options: StatusOptions): () => object {
  const { identity, state, now } = options
  return () => ({
    instance: identity.name,
    incarnation: identity.incarnation,
    dataCentre: identity.dataCentre,
    state: options.isStopping() ? 'leaving' : 'live',
    ready: options.reasonNotReady() === undefined,
    reason: options.reasonNotReady(),
    revision: state.tracker.revision(),
    keyVersion: state.keys.version(),
    keys: state.keys.records().length,
    keyAgeMilliseconds: state.keys.age(now()),
    platformError: options.platformError(),
    peers: options.peers(),
    upstreams: state.registry.upstreams(now()).map((upstream) => ({
      name: upstream.name,
      kind: upstream.kind,
      dataCentre: upstream.dataCentre,
      incarnation: upstream.incarnation,
      leaving: upstream.leaving,
      suspected: upstream.suspected,
      loaded: upstream.loaded,
      inFlight: upstream.inFlight,
      queuedTokens: upstream.queuedTokens,
      limit: state.limitOf(upstream.name).limit()
    })),
    rollouts: state.rollouts.records(),
    quota: state.accounts.customers().map((customer) => ({ customer, ...state.accounts.inspect(customer, now()) })),
    indexEntries: state.index.entryCount(),
    openRequests: options.openRequests(),
    waitingRequests: options.waitingRequests(),
    pendingWrites: options.pendingWrites()
  })
}
