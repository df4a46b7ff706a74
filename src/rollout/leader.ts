/**
 * Rollout leader: acquires the lease in the record's row, advances the record through its phases by compare-and-swap,
 * and emits commands to engines. After its lease has expired, an instance emits and changes nothing until it has
 * reacquired the lease with a higher fencing token.
 */
import { PlatformTable } from '../constants'
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../errors'
import type { PlatformClient, TableRow } from '../platform/types'
import type { ConfigurationRevision, Incarnation, ModelConfiguration, MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import { createRolloutJudge, type RolloutJudge } from './judge'
import { createLeaseTracker, RENEW_BELOW_MS } from './lease'
import {
  createLoadPlanner, engineModelKey, hasLoadedModel, modelVersionName, targetEngines, UNLOAD_DELAY_MS, unusedVersions,
  type LoadRequest
} from './loading'
import { desiredModel, isTerminal, nextChange, requestedRollout, stableVersion, type RolloutRequest } from './transitions'
import { RolloutPhase, type EngineState, type RolloutEffect, type RolloutRecord, type RolloutSample } from './types'

export interface RolloutLeaderOptions {
  platform: Pick<PlatformClient, 'readTable' | 'commit'>
  self: { instance: string, incarnation: Incarnation }
  configuration: () => ConfigurationRevision | undefined
  /** Last reported state of the engines in all data centres. */
  engines: () => readonly EngineState[]
  /** Restricts which instances compete for the lease of a model. @default every instance */
  mayLead?: (model: string) => boolean
  /** Called with every record that was read or written, to update the view. */
  onRecord?: (record: RolloutRecord) => void
  /** Whether faults lead to a rollback; tests disable it to measure the harm without detection. @default true */
  detection?: boolean
}

export interface RolloutLeader {
  /**
   * Reads the table and advances the rollouts that this instance may lead. Returns the effects to be carried out. A
   * tick that overlaps another one does nothing.
   */
  tick: (now: MonotonicMilliseconds, wallClock: WallClockMilliseconds) => Promise<readonly RolloutEffect[]>
  /** Adds the counts of one instance, including this one. Ignored for models that this instance does not lead. */
  addSamples: (instance: string, samples: readonly RolloutSample[]) => void
  /** Records that an engine rejected a load command or failed to carry it out. */
  loadFailed: (engine: string, model: string, version: string) => void
  /** Returns whether this instance holds the lease of the model. */
  leads: (model: string, now: MonotonicMilliseconds) => boolean
}

/**
 * Returns the value of the `leader` field. It includes the incarnation, because a restarted instance loses its lease.
 */
export function leaderName (self: { instance: string, incarnation: Incarnation }): string {
  return `${self.instance}/${self.incarnation}`
}

/** Returns the instance name in a `leader` field, to which samples are sent. */
export function leaderInstance (leader: string): string {
  return leader.slice(0, leader.lastIndexOf('/'))
}

export function createRolloutLeader (options: RolloutLeaderOptions): RolloutLeader {
  const { platform, self, mayLead = () => true, onRecord, detection = true } = options
  const name = leaderName(self)
  const leases = createLeaseTracker()
  const planner = createLoadPlanner()
  const judges = new Map<string, { rollout: string, judge: RolloutJudge }>()
  const knownEngines = new Set<string>()
  let running = false
  let commits = 0

  function leads (model: string, now: MonotonicMilliseconds): boolean {
    return now < (leases.heldUntil(model) ?? -Infinity)
  }

  function judgeOf (record: RolloutRecord): RolloutJudge | undefined {
    if (record.fromVersion === undefined || isTerminal(record.phase)) return undefined
    const rollout = `${record.startedAt} ${record.fromVersion} ${record.toVersion}`
    const existing = judges.get(record.model)
    if (existing?.rollout === rollout) return existing.judge
    const judge = createRolloutJudge(
      { fromVersion: record.fromVersion, toVersion: record.toVersion, enabled: detection }
    )
    judges.set(record.model, { rollout, judge })
    return judge
  }

  function targetsOf (model: string): readonly EngineState[] {
    const engines = options.engines()
    const models = options.configuration()?.configuration.models.map(other => other.name) ?? []
    for (const engine of engines) {
      for (const name of models) if (hasLoadedModel(engine, name)) knownEngines.add(engineModelKey(engine.name, name))
    }
    const targets = targetEngines(engines, model, models, knownEngines)
    // Remembers all targets, so that the others remain targets once the first of them have loaded the model.
    for (const engine of models.includes(model) ? targets : []) knownEngines.add(engineModelKey(engine.name, model))
    return targets
  }

  function loadRequest (
    record: RolloutRecord, desired: ModelConfiguration | undefined, wallClock: WallClockMilliseconds
  ): LoadRequest {
    const terminal = isTerminal(record.phase)
    const stable = stableVersion(record)
    const versions = terminal ? [stable] : [record.fromVersion, record.toVersion]
    return {
      model: record.model,
      load: desired === undefined ? undefined : terminal ? stable : record.toVersion,
      keep: new Set(versions.filter(version => version !== undefined)),
      unload: !terminal || wallClock - record.phaseSince >= UNLOAD_DELAY_MS,
      targets: targetsOf(record.model),
      parallelLoads: desired?.parallelLoads ?? 1,
      fencingToken: record.fencingToken
    }
  }

  /** Returns whether the rollout is running, or engines still have to load the version or to unload an unused one. */
  function needsLeader (record: RolloutRecord, request: LoadRequest): boolean {
    if (!isTerminal(record.phase)) return true
    const missing = request.load !== undefined &&
      request.targets.some(engine => !engine.loaded.includes(modelVersionName(record.model, request.load!)))
    return missing || (request.unload && unusedVersions(request.targets, record.model, request.keep).length > 0)
  }

  /**
   * Writes the record if the row has not changed. Returns the new row, or undefined unless the write is known to be
   * applied.
   */
  async function write (
    record: RolloutRecord, version: number, now: MonotonicMilliseconds
  ): Promise<TableRow<RolloutRecord> | undefined> {
    try {
      const result = await platform.commit({
        identifier: `${name}/rollout/${++commits}`,
        conditions: [{ table: PlatformTable.rollout, key: record.model, version }],
        writes: [{ table: PlatformTable.rollout, key: record.model, value: record }]
      })
      leases.recordRenewal(record.model, now)
      leases.observe(record.model, record.leader, record.step, now)
      onRecord?.(record)
      return { key: record.model, value: record, version: result.version }
    } catch (error) {
      // The next tick reads the row before anything is written again. A write without a response does not count as a
      // renewal.
      if (isPlatformFailure(error)) return undefined
      throw error
    }
  }

  async function startRollout (
    row: TableRow<RolloutRecord> | undefined, request: RolloutRequest,
    now: MonotonicMilliseconds
  ): Promise<RolloutEffect[]> {
    planner.resetFailures(request.model, request.toVersion)
    const record = {
      ...request, leader: name, fencingToken: (row?.value.fencingToken ?? 0) + 1, step: (row?.value.step ?? 0) + 1
    }
    return await write(record, row?.version ?? 0, now) === undefined ? [] : [{ kind: 'record', record }]
  }

  /** Returns whether no other instance can hold the lease. */
  function mayAcquire (record: RolloutRecord, now: MonotonicMilliseconds): boolean {
    // A lease of this process can be reacquired at once, because no other instance can hold it.
    return record.leader === name || leases.hasExpired(record.model, now)
  }

  /**
   * Keeps or acquires the lease. Returns the row under the lease, or undefined when the lease could not be acquired.
   */
  async function ensureLease (
    row: TableRow<RolloutRecord>, now: MonotonicMilliseconds
  ): Promise<TableRow<RolloutRecord> | undefined> {
    const record = row.value
    if (record.leader === name && leads(record.model, now)) return row
    leases.release(record.model)
    judges.delete(record.model)
    if (!mayAcquire(record, now)) return undefined
    const acquired = { ...record, leader: name, fencingToken: record.fencingToken + 1, step: record.step + 1 }
    return await write(acquired, row.version, now)
  }

  async function applyNextChange (
    leasedRow: TableRow<RolloutRecord>, desired: ModelConfiguration | undefined, revision: number,
    now: MonotonicMilliseconds, wallClock: WallClockMilliseconds
  ): Promise<TableRow<RolloutRecord> | undefined> {
    const record = leasedRow.value
    const judge = judgeOf(record)
    const targets = targetsOf(record.model)
    const change = nextChange(record, desired, {
      wallClock,
      revision,
      targets: targets.length,
      loaded: targets.filter(engine => engine.loaded.includes(modelVersionName(record.model, record.toVersion))).length,
      unable: planner.countUnable(targets, record.model, record.toVersion),
      verdict: judge?.evaluate(),
      isSafeToAdvance: judge?.isSafeToAdvance() ?? true,
      hasSufficientRequests: judge?.hasSufficientRequests() ?? false
    })
    if (change === undefined && leases.heldUntil(record.model)! - now > RENEW_BELOW_MS) return leasedRow
    const written = await write({ ...record, ...change, step: record.step + 1 }, leasedRow.version, now)
    if (written !== undefined && change?.phaseSince !== undefined) judge?.startStep()
    return written
  }

  async function advanceModel (
    row: TableRow<RolloutRecord> | undefined, desired: ModelConfiguration | undefined, revision: number,
    now: MonotonicMilliseconds, wallClock: WallClockMilliseconds
  ): Promise<RolloutEffect[]> {
    if (desired !== undefined) {
      const request = requestedRollout(row?.value, desired, revision, wallClock)
      if (request !== undefined) {
        // The previous leader may still be sending commands of the rollout that has ended.
        return row === undefined || mayAcquire(row.value, now) ? await startRollout(row, request, now) : []
      }
    }
    // An instance with an older revision than the record's would treat the running rollout as superseded.
    if (row === undefined || revision < row.value.revision) return []
    if (!needsLeader(row.value, loadRequest(row.value, desired, wallClock))) return []
    const leasedRow = await ensureLease(row, now)
    if (leasedRow === undefined) return []
    const after = await applyNextChange(leasedRow, desired, revision, now, wallClock)
    const effects: RolloutEffect[] = after === undefined || after.value === row.value ? [] : [{ kind: 'record', record: after.value }]
    // When the last write got no response, the lease is still held, but the phase may have changed. Commands wait for
    // the next read.
    if (after === undefined || !leads(row.value.model, now)) return effects
    const validUntil = leases.heldUntil(row.value.model)!
    for (const { engine, command } of planner.plan(loadRequest(after.value, desired, wallClock), now)) {
      effects.push({ kind: 'engineOrder', engine: engine.name, endpoint: engine.endpoint, command, validUntil })
    }
    return effects
  }

  async function tickOnce (
    now: MonotonicMilliseconds, wallClock: WallClockMilliseconds
  ): Promise<readonly RolloutEffect[]> {
    let rows: ReadonlyArray<TableRow<RolloutRecord>>
    try {
      rows = await platform.readTable<RolloutRecord>(PlatformTable.rollout)
    } catch (error) {
      if (isPlatformFailure(error)) return []
      throw error
    }
    for (const { value } of rows) {
      leases.observe(value.model, value.leader, value.step, now)
      onRecord?.(value)
    }
    const applied = options.configuration()
    if (applied === undefined) return []
    const effects: RolloutEffect[] = []
    const models = new Set([...rows.map(row => row.key), ...applied.configuration.models.map(model => model.name)])
    for (const model of models) {
      if (!mayLead(model)) continue
      const row = rows.find(other => other.key === model)
      effects.push(...await advanceModel(
        row, desiredModel(applied.configuration, model), applied.revision, now, wallClock
      ))
    }
    return effects
  }

  return {
    async tick (now, wallClock) {
      if (running) return []
      running = true
      try {
        return await tickOnce(now, wallClock)
      } finally {
        running = false
      }
    },
    addSamples (instance, samples) {
      for (const { model } of new Map(samples.map(sample => [sample.model, sample])).values()) {
        judges.get(model)?.judge.add(instance, samples.filter(sample => sample.model === model))
      }
    },
    loadFailed: planner.recordFailure,
    leads
  }
}

function isPlatformFailure (error: unknown): boolean {
  return error instanceof TransactionConflictError || error instanceof OutcomeUnknownError ||
    error instanceof PlatformUnavailableError
}

/** Returns the models whose running rollouts are led by the given instance, to which their samples are sent. */
export function modelsLedBy (records: readonly RolloutRecord[], instance: string): readonly string[] {
  return records.filter(record => !isTerminal(record.phase) && record.phase !== RolloutPhase.pending &&
    leaderInstance(record.leader) === instance).map(record => record.model)
}
