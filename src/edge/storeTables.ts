/** Follows the operator's rows and the list of upstreams, and passes on what they say. */
import { ConfigurationError } from '../errors'
import { EdgeEvent } from './events'
import type { Freshness } from './freshness'
import { createRouteTable, type RouteTable } from './routeTable'
import type { ServiceMoves } from './serviceMoves'
import { followTable, type ObservationGap, type FollowerOptions } from './storeFollower'
import type { TableRelay } from './tableRelay'
import type { EdgeConfiguration, StoreRecords, StoreRow, UpstreamEntry } from './types'
import type { DirectoryChange, UpstreamDirectory } from './upstreamDirectory'
import type { WeightsMove } from './weightsMove'

/** Part of the revocation bound for which a call waits for changes; two of them and a time-out fit into the bound. */
const FOLLOW_SHARE = 0.35
/** Milliseconds that a call waits for changes without a revocation bound, and for changes of upstreams. */
export const FOLLOW_MS = 2000
/**
 * Milliseconds between changes of the list and the next call of an instance that reads the store. Upstreams write their
 * entries about once a second, and every change costs a call of each reader, so the time doubles up to the longest while
 * the changes tell nothing of upstreams that come or go. A leaving upstream is known well within two seconds.
 */
const SETTLE_MS = 80
const MAX_SETTLE_MS = 700
/** The same after the answer of a relay. */
const RELAYED_SETTLE_MS = 20

const CHANGE_EVENTS: Readonly<Record<DirectoryChange['kind'], EdgeEvent>> = {
  found: EdgeEvent.upstreamFound,
  lost: EdgeEvent.upstreamLost,
  leaving: EdgeEvent.upstreamLeaving,
  restarted: EdgeEvent.upstreamRestarted
}

export interface StoreTablesOptions {
  /** What all followers of this instance share. */
  shared: Pick<FollowerOptions, 'store' | 'newestVersion' | 'log' | 'now' | 'random'>
  records: StoreRecords
  relay: Pick<TableRelay, 'table'>
  /** Milliseconds after which a key that was taken away must not be used. */
  revocation: number
  freshness: Pick<Freshness, 'proved'>
  directory: UpstreamDirectory
  weights: Pick<WeightsMove, 'want'>
  moves: Pick<ServiceMoves, 'addRequest'>
  /** Calls its argument when the other instances are known, or cannot be found out soon. */
  whenReady: (start: () => void) => void
  onConfiguration: (configuration: EdgeConfiguration) => void
  /** A move was asked for at an unknown time, so that it may have begun or ended. */
  onOldMove: (service: string) => void
  /** The upstream's process is gone. */
  onGone: (change: DirectoryChange) => void
}

export interface StoreTables {
  /** Undefined until a configuration is known. */
  routes: () => RouteTable | undefined
  /** The list of upstreams has been read. */
  isListRead: () => boolean
  note: (changes: readonly DirectoryChange[]) => void
  stop: () => void
}

export function followStoreTables (options: StoreTablesOptions): StoreTables {
  const { shared, records, relay, revocation, freshness, directory, weights, moves } = options
  const { log, now } = shared
  let routes: RouteTable | undefined
  let listRead = false
  let settle = SETTLE_MS

  function applyConfiguration (value: Buffer, rowVersion: number): void {
    try {
      const configuration = records.configuration(value)
      // A replica that lags may show an older configuration; it never replaces a newer one.
      if (routes !== undefined && configuration.version <= routes.configuration.version) {
        if (configuration.version < routes.configuration.version) {
          const inForce = routes.configuration.version
          log(EdgeEvent.configurationIgnored, { configurationVersion: configuration.version, inForce })
        }
        return
      }
      routes = createRouteTable(configuration)
      options.onConfiguration(configuration)
      log(EdgeEvent.configurationAccepted, { configurationVersion: configuration.version, rowVersion })
    } catch (error) {
      if (!(error instanceof ConfigurationError)) throw error
      log(EdgeEvent.configurationIgnored, { rowVersion, reason: error.message })
    }
  }

  function applyRolloutRequest (key: string, value: Buffer, rowVersion: number, changedAfter: ObservationGap['changedAfter']): boolean {
    const request = records.serviceMove(key, value)
    if (request === undefined) return false
    if (!moves.addRequest(request, rowVersion, now().steady)) return true
    log(EdgeEvent.moveAsked, { ...request, rowVersion })
    if (changedAfter === undefined) options.onOldMove(request.service)
    return true
  }

  function applyOperatorRow ({ key, value, version }: StoreRow, { changedAfter }: ObservationGap): void {
    if (value === undefined) return
    if (key === records.configurationKey) return applyConfiguration(value, version)
    if (applyRolloutRequest(key, value, version, changedAfter)) return
    const wanted = records.wantedWeights(key, value)
    if (wanted === undefined || !weights.want(wanted, changedAfter)) return
    log(EdgeEvent.weightsNamed, { ...wanted, rowVersion: version })
  }

  function note (changes: readonly DirectoryChange[]): void {
    if (changes.length > 0) settle = SETTLE_MS
    for (const change of changes) {
      const { kind, upstream } = change
      const { identifier, service, startedAt, softwareVersion } = upstream.entry
      log(CHANGE_EVENTS[kind], { upstream: identifier, service, startedAt, softwareVersion })
      if (kind === 'lost' || kind === 'restarted') options.onGone(change)
    }
  }

  function readEntry ({ key, value }: StoreRow): UpstreamEntry | undefined {
    const entry = value === undefined ? undefined : records.upstream(key, value)
    if (value !== undefined && entry === undefined) log(EdgeEvent.upstreamUnreadable, { upstream: key })
    return entry
  }

  function applyUpstreamChange (row: StoreRow, afterOutage: boolean): void {
    const entry = readEntry(row)
    const present = now().steady
    note(entry === undefined ? directory.remove(row.key, afterOutage, present) : directory.update(entry))
  }

  function nextSettle (): number {
    const present = settle
    settle = Math.min(MAX_SETTLE_MS, settle * 2)
    return present
  }

  const operatorFollower = followTable({
    ...shared,
    whenReady: options.whenReady,
    table: records.tables.operator,
    relay: relay.table(records.tables.operator),
    wait: Number.isFinite(revocation) ? Math.round(revocation * FOLLOW_SHARE) : FOLLOW_MS,
    onRows: (rows, gap) => { for (const row of rows) applyOperatorRow(row, gap) },
    onChanges: (rows, gap) => { for (const row of rows) applyOperatorRow(row, gap) },
    onContact: freshness.proved
  })
  const upstreamFollower = followTable({
    ...shared,
    whenReady: options.whenReady,
    table: records.tables.upstreams,
    relay: relay.table(records.tables.upstreams),
    wait: FOLLOW_MS,
    settle: (wasRelayed) => wasRelayed ? RELAYED_SETTLE_MS : nextSettle(),
    onRows (rows, { afterOutage }) {
      listRead = true
      const entries = rows.flatMap((row) => readEntry(row) ?? [])
      note(directory.replace(entries, afterOutage, now().steady))
    },
    onChanges: (rows, { afterOutage }) => { for (const row of rows) applyUpstreamChange(row, afterOutage) }
  })

  return {
    routes: () => routes,
    isListRead: () => listRead,
    note,
    stop () {
      operatorFollower.stop()
      upstreamFollower.stop()
    }
  }
}
