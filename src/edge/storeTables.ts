/** Follows the operator's rows and the registered upstreams, and applies their changes. */
import { ConfigurationError } from '../errors'
import { EdgeEvent } from './events'
import type { Freshness } from './freshness'
import { createRouteTable, type RouteTable } from './routeTable'
import type { ServiceRollouts } from './serviceRollouts'
import { eraPosition, type StoreEra } from './storeEra/storeEra'
import { followTable, type ObservationGap, type FollowerOptions } from './storeFollower'
import type { MonotonicMilliseconds } from '../types'
import type { EvacuationChange, Evacuations } from './residency/evacuations'
import type { TableRelay } from './tableRelay'
import type { EdgeConfiguration, StoreRecordCodec, StoreRow, UpstreamEntry } from './types'
import type { DirectoryChange, UpstreamDirectory } from './upstreamDirectory'
import type { WeightsRollout } from './weightsRollout'

/** Fraction of the revocation bound for which a call waits for changes; two waits and a timeout fit into the bound. */
const FOLLOW_SHARE = 0.35
/** Wait in milliseconds for changes of upstreams, and of the operator's rows if there is no revocation bound. */
export const FOLLOW_MS = 2000
/**
 * Delay in milliseconds between changes of the upstreams and the next call of an instance that reads the store.
 * Upstreams write their entries about once per second, and every change costs a call of each reader. The delay
 * therefore doubles up to the maximum while the changes add or remove no upstream. A draining upstream is still noticed
 * well within two seconds.
 */
const SETTLE_MS = 80
const MAX_SETTLE_MS = 700
/** The same delay after the response of a relay. */
const RELAYED_SETTLE_MS = 20

const CHANGE_EVENTS: Readonly<Record<DirectoryChange['kind'], EdgeEvent>> = {
  found: EdgeEvent.upstreamFound,
  lost: EdgeEvent.upstreamLost,
  leaving: EdgeEvent.upstreamLeaving,
  restarted: EdgeEvent.upstreamRestarted
}

export interface StoreTablesOptions {
  /** Options that all followers of this instance share. */
  shared: Pick<FollowerOptions, 'store' | 'log' | 'now' | 'random'> & { storeEra: StoreEra }
  records: StoreRecordCodec
  relay: Pick<TableRelay, 'table'>
  /** Time in milliseconds after which a removed key must no longer be accepted. */
  revocation: number
  freshness: Pick<Freshness, 'recordConfirmation'>
  directory: UpstreamDirectory
  weightsRollout: Pick<WeightsRollout, 'setTarget'>
  serviceRollouts: Pick<ServiceRollouts, 'addRequest'>
  /** Calls its argument when the other instances are known, or when waiting for them has timed out. */
  whenReady: (start: () => void) => void
  onConfiguration: (configuration: EdgeConfiguration) => void
  /** Called if a rollout was requested at an unknown time, so that it may already have started or ended. */
  onUndatedRollout: (service: string) => void
  /** Called with each entry as it is now listed. */
  onEntry: (entry: UpstreamEntry) => void
  evacuations: Pick<Evacuations, 'replace' | 'update' | 'expire'>
  /** Called if the upstream's process no longer exists. */
  onUpstreamGone: (change: DirectoryChange) => void
}

export interface StoreTables {
  /** Returns undefined until a configuration is known. */
  routes: () => RouteTable | undefined
  /** Whether the list of upstreams has been read. */
  isListRead: () => boolean
  handleDirectoryChanges: (changes: readonly DirectoryChange[]) => void
  /** Ends evacuations whose row a restored store has lacked for too long. */
  expireEvacuations: (now: MonotonicMilliseconds) => void
  stop: () => void
}

export function followStoreTables (options: StoreTablesOptions): StoreTables {
  const { shared, records, relay, revocation, freshness, directory, weightsRollout, serviceRollouts } = options
  const { log, now, storeEra } = shared
  let routes: RouteTable | undefined
  /** Content and position, over all eras, of the row with the configuration in force. */
  let inForce: { value: Buffer, position: number } | undefined
  let listRead = false
  let settle = SETTLE_MS

  /**
   * Whether a row with the version in force has been written anew: that version was lost with an era, and the operator
   * may have given it to another configuration.
   */
  function isWrittenAnew (value: Buffer, position: number): boolean {
    if (storeEra.changes() === 0 || inForce === undefined) return false
    return position > inForce.position && !value.equals(inForce.value)
  }

  function applyConfiguration (value: Buffer, rowVersion: number): void {
    try {
      const configuration = records.configuration(value)
      const position = eraPosition(storeEra.current(), rowVersion)
      const versionInForce = routes?.configuration.version ?? -Infinity
      // A replica that lags behind may return an older configuration, which never replaces a newer one.
      if (configuration.version < versionInForce) {
        const { version } = configuration
        log(EdgeEvent.configurationIgnored, { configurationVersion: version, inForce: versionInForce })
        return
      }
      if (configuration.version === versionInForce && !isWrittenAnew(value, position)) return
      inForce = { value, position }
      routes = createRouteTable(configuration)
      options.onConfiguration(configuration)
      log(EdgeEvent.configurationAccepted, { configurationVersion: configuration.version, rowVersion })
    } catch (error) {
      if (!(error instanceof ConfigurationError)) throw error
      log(EdgeEvent.configurationIgnored, { rowVersion, reason: error.message })
    }
  }

  function applyRolloutRequest (
    key: string, value: Buffer, rowVersion: number, { changedAfter, isNewEra }: ObservationGap
  ): boolean {
    const request = records.serviceRollout(key, value)
    if (request === undefined) return false
    const position = eraPosition(storeEra.current(), rowVersion)
    if (!serviceRollouts.addRequest(request, position, now().steady, isNewEra)) return true
    log(EdgeEvent.rolloutRequested, { ...request, rowVersion })
    if (changedAfter === undefined) options.onUndatedRollout(request.service)
    return true
  }

  function applyOperatorRow ({ key, value, version }: StoreRow, gap: ObservationGap): void {
    if (value === undefined) return
    if (key === records.configurationKey) return applyConfiguration(value, version)
    if (applyRolloutRequest(key, value, version, gap)) return
    const target = records.targetWeights(key, value)
    if (target === undefined || !weightsRollout.setTarget(target, gap.changedAfter)) return
    log(EdgeEvent.targetWeightsChanged, { ...target, rowVersion: version })
  }

  function logEvacuations (changes: readonly EvacuationChange[]): void {
    for (const { dataCentre, isEvacuated } of changes) {
      log(isEvacuated ? EdgeEvent.dataCentreEvacuated : EdgeEvent.dataCentreEvacuationEnded, { dataCentre })
    }
  }

  /** Reports an entry as the directory lists it: a start that it does not state is that of the known run. */
  function reportEntry ({ identifier }: UpstreamEntry): void {
    const listed = directory.get(identifier)
    if (listed !== undefined) options.onEntry(listed.entry)
  }

  function handleDirectoryChanges (changes: readonly DirectoryChange[]): void {
    if (changes.length > 0) settle = SETTLE_MS
    for (const change of changes) {
      const { kind, upstream } = change
      const { identifier, service, startedAt, softwareVersion } = upstream.entry
      log(CHANGE_EVENTS[kind], { upstream: identifier, service, startedAt, softwareVersion })
      if (kind === 'lost' || kind === 'restarted') options.onUpstreamGone(change)
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
    handleDirectoryChanges(
      entry === undefined ? directory.remove(row.key, afterOutage, present) : directory.update(entry)
    )
    if (entry !== undefined) reportEntry(entry)
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
    onRows (rows, gap) {
      logEvacuations(options.evacuations.replace(rows, gap.isNewEra === true ? now().steady : undefined))
      for (const row of rows) applyOperatorRow(row, gap)
    },
    onChanges (rows, gap) {
      logEvacuations(options.evacuations.update(rows))
      for (const row of rows) applyOperatorRow(row, gap)
    },
    onConfirmed: freshness.recordConfirmation
  })
  const upstreamFollower = followTable({
    ...shared,
    whenReady: options.whenReady,
    table: records.tables.upstreams,
    relay: relay.table(records.tables.upstreams),
    wait: FOLLOW_MS,
    settleDelay: (wasRelayed) => wasRelayed ? RELAYED_SETTLE_MS : nextSettle(),
    onRows (rows, { afterOutage }) {
      listRead = true
      const entries = rows.flatMap((row) => readEntry(row) ?? [])
      handleDirectoryChanges(directory.replace(entries, afterOutage, now().steady))
      for (const entry of entries) reportEntry(entry)
    },
    onChanges: (rows, { afterOutage }) => { for (const row of rows) applyUpstreamChange(row, afterOutage) }
  })

  return {
    routes: () => routes,
    isListRead: () => listRead,
    handleDirectoryChanges,
    expireEvacuations (at) { logEvacuations(options.evacuations.expire(at)) },
    stop () {
      operatorFollower.stop()
      upstreamFollower.stop()
    }
  }
}
