/**
 * Leads rollouts: acquires the lease in the record's row, moves the record through its phases by compare-and-swap, and
 * emits orders to engines. An instance whose lease has lapsed emits nothing and changes nothing until it has acquired the
 * lease anew with a raised fencing token.
 */
import { PlatformTable } from '../constants'
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../errors'
import type { PlatformClient, TableRow } from '../platform/types'
import type { ConfigurationRevision, Incarnation, ModelConfiguration, MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import { createRolloutJudge, type RolloutJudge } from './judge'
import { createLeaseWatch, RENEW_BELOW_MS } from './lease'
import { createLoadPlanner, engineModel, hasModel, loadedName, targetEngines, UNLOAD_DELAY_MS, unwantedVersions, type LoadRequest } from './loading'
import { carriedVersion, isTerminal, nextChange, requestedRollout, wantedModel, type RolloutRequest } from './transitions'
import { RolloutPhase, type EngineState, type RolloutEffect, type RolloutRecord, type RolloutSample } from './types'

export interface RolloutLeaderOptions {
  platform: Pick<PlatformClient, 'readTable' | 'commit'>
  self: { instance: string, incarnation: Incarnation }
  configuration: () => ConfigurationRevision | undefined
  /** Engines as reported last, of all data centres. */
  engines: () => readonly EngineState[]
  /** Restricts which instances compete for the lease of a model. @default every instance */
  mayLead?: (model: string) => boolean
  /** Called with every record that was read or written, for the view. @default nothing */
  onRecord?: (record: RolloutRecord) => void
  /** @default true; false serves tests that show what the detection prevents */
  detection?: boolean
}

export interface RolloutLeader {
  /** Reads the table, then leads what this instance may lead. Returns what must be sent out. A tick that overlaps another one does nothing. */
  tick: (now: MonotonicMilliseconds, wallClock: WallClockMilliseconds) => Promise<readonly RolloutEffect[]>
  /** Takes in the counts of one instance, including this one. Ignored for models that this instance does not lead. */
  addSamples: (instance: string, samples: readonly RolloutSample[]) => void
  /** Notes that an engine refused or failed a load order. */
  loadFailed: (engine: string, model: string, version: string) => void
  /** True while this instance holds the lease of the model. */
  leads: (model: string, now: MonotonicMilliseconds) => boolean
}

/** Text of the `leader` field. It holds the incarnation, because a restarted instance does not hold the old lease. */
export function leaderName (self: { instance: string, incarnation: Incarnation }): string {
  return `${self.instance}/${self.incarnation}`
}

/** Instance name of a `leader` field, where samples are sent. */
export function leaderInstance (leader: string): string {
  return leader.slice(0, leader.lastIndexOf('/'))
}

export function createRolloutLeader (options: RolloutLeaderOptions): RolloutLeader {
  const { platform, self, mayLead = () => true, onRecord, detection = true } = options
  const name = leaderName(self)
  const lease = createLeaseWatch()
  const planner = createLoadPlanner()
  const judges = new Map<string, { rollout: string, judge: RolloutJudge }>()
  const knownEngines = new Set<string>()
  let running = false
  let commits = 0

  function leads (model: string, now: MonotonicMilliseconds): boolean {
    return now < (lease.heldUntil(model) ?? -Infinity)
  }

  function judgeOf (record: RolloutRecord): RolloutJudge | undefined {
    if (record.fromVersion === undefined || isTerminal(record.phase)) return undefined
    const rollout = `${record.startedAt} ${record.fromVersion} ${record.toVersion}`
    const present = judges.get(record.model)
    if (present?.rollout === rollout) return present.judge
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
      for (const name of models) if (hasModel(engine, name)) knownEngines.add(engineModel(engine.name, name))
    }
    const targets = targetEngines(engines, model, models, knownEngines)
    // A target stays one when the first of them have loaded the model.
    for (const engine of models.includes(model) ? targets : []) knownEngines.add(engineModel(engine.name, model))
    return targets
  }

  function loadRequest (
    record: RolloutRecord, wanted: ModelConfiguration | undefined, wallClock: WallClockMilliseconds
  ): LoadRequest {
    const terminal = isTerminal(record.phase)
    const carried = carriedVersion(record)
    const versions = terminal ? [carried] : [record.fromVersion, record.toVersion]
    return {
      model: record.model,
      load: wanted === undefined ? undefined : terminal ? carried : record.toVersion,
      keep: new Set(versions.filter(version => version !== undefined)),
      unload: !terminal || wallClock - record.phaseSince >= UNLOAD_DELAY_MS,
      targets: targetsOf(record.model),
      parallelLoads: wanted?.parallelLoads ?? 1,
      fencingToken: record.fencingToken
    }
  }

  /** A record whose rollout has ended needs a leader only while engines lack the version or hold an unused one. */
  function needsLeader (record: RolloutRecord, request: LoadRequest): boolean {
    if (!isTerminal(record.phase)) return true
    const missing = request.load !== undefined &&
      request.targets.some(engine => !engine.loaded.includes(loadedName(record.model, request.load!)))
    return missing || (request.unload && unwantedVersions(request.targets, record.model, request.keep).length > 0)
  }

  /** Writes under the condition that the row has not changed. Returns the record when the write is known to have taken effect. */
  async function write (
    record: RolloutRecord, version: number, now: MonotonicMilliseconds
  ): Promise<TableRow<RolloutRecord> | undefined> {
    try {
      const result = await platform.commit({
        identifier: `${name}/rollout/${++commits}`,
        conditions: [{ table: PlatformTable.rollout, key: record.model, version }],
        writes: [{ table: PlatformTable.rollout, key: record.model, value: record }]
      })
      lease.renewed(record.model, now)
      lease.observe(record.model, record.leader, record.step, now)
      onRecord?.(record)
      return { key: record.model, value: record, version: result.version }
    } catch (error) {
      // The next tick reads the row before anything is written again. A lost answer does not count as a renewal.
      if (isPlatformFailure(error)) return undefined
      throw error
    }
  }

  async function begin (
    row: TableRow<RolloutRecord> | undefined, request: RolloutRequest,
    now: MonotonicMilliseconds
  ): Promise<RolloutEffect[]> {
    planner.forget(request.model, request.toVersion)
    const record = {
      ...request, leader: name, fencingToken: (row?.value.fencingToken ?? 0) + 1, step: (row?.value.step ?? 0) + 1
    }
    return await write(record, row?.version ?? 0, now) === undefined ? [] : [{ kind: 'record', record }]
  }

  /** True when no other instance can hold the lease. */
  function mayAcquire (record: RolloutRecord, now: MonotonicMilliseconds): boolean {
    // A lease of this very process can be acquired anew at once, because nobody else can hold it.
    return record.leader === name || lease.lapsed(record.model, now)
  }

  /** Holds the lease after this call, or returns undefined. */
  async function hold (
    row: TableRow<RolloutRecord>, now: MonotonicMilliseconds
  ): Promise<TableRow<RolloutRecord> | undefined> {
    const record = row.value
    if (record.leader === name && leads(record.model, now)) return row
    lease.release(record.model)
    judges.delete(record.model)
    if (!mayAcquire(record, now)) return undefined
    const acquired = { ...record, leader: name, fencingToken: record.fencingToken + 1, step: record.step + 1 }
    return await write(acquired, row.version, now)
  }

  async function advance (
    held: TableRow<RolloutRecord>, wanted: ModelConfiguration | undefined, revision: number,
    now: MonotonicMilliseconds, wallClock: WallClockMilliseconds
  ): Promise<TableRow<RolloutRecord> | undefined> {
    const record = held.value
    const judge = judgeOf(record)
    const targets = targetsOf(record.model)
    const change = nextChange(record, wanted, {
      wallClock,
      revision,
      targets: targets.length,
      loaded: targets.filter(engine => engine.loaded.includes(loadedName(record.model, record.toVersion))).length,
      unable: planner.unable(targets, record.model, record.toVersion),
      verdict: judge?.evaluate(),
      clear: judge?.clear() ?? true,
      sufficient: judge?.sufficient() ?? false
    })
    if (change === undefined && lease.heldUntil(record.model)! - now > RENEW_BELOW_MS) return held
    const written = await write({ ...record, ...change, step: record.step + 1 }, held.version, now)
    if (written !== undefined && change?.phaseSince !== undefined) judge?.startStep()
    return written
  }

  async function lead (
    row: TableRow<RolloutRecord> | undefined, wanted: ModelConfiguration | undefined, revision: number,
    now: MonotonicMilliseconds, wallClock: WallClockMilliseconds
  ): Promise<RolloutEffect[]> {
    if (wanted !== undefined) {
      const request = requestedRollout(row?.value, wanted, revision, wallClock)
      if (request !== undefined) {
        // The last leader may still be sending orders of the rollout that has ended.
        return row === undefined || mayAcquire(row.value, now) ? await begin(row, request, now) : []
      }
    }
    // An instance that lags behind the record's revision would take the running rollout for a superseded one.
    if (row === undefined || revision < row.value.revision) return []
    if (!needsLeader(row.value, loadRequest(row.value, wanted, wallClock))) return []
    const held = await hold(row, now)
    if (held === undefined) return []
    const after = await advance(held, wanted, revision, now, wallClock)
    const effects: RolloutEffect[] = after === undefined || after.value === row.value ? [] : [{ kind: 'record', record: after.value }]
    // Without an answer to the last write the lease still stands, but the phase may have changed; orders wait for the next read.
    if (after === undefined || !leads(row.value.model, now)) return effects
    const validUntil = lease.heldUntil(row.value.model)!
    for (const { engine, order } of planner.plan(loadRequest(after.value, wanted, wallClock), now)) {
      effects.push({ kind: 'engineOrder', engine: engine.name, endpoint: engine.endpoint, order, validUntil })
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
      lease.observe(value.model, value.leader, value.step, now)
      onRecord?.(value)
    }
    const applied = options.configuration()
    if (applied === undefined) return []
    const effects: RolloutEffect[] = []
    const models = new Set([...rows.map(row => row.key), ...applied.configuration.models.map(model => model.name)])
    for (const model of models) {
      if (!mayLead(model)) continue
      const row = rows.find(other => other.key === model)
      effects.push(...await lead(row, wantedModel(applied.configuration, model), applied.revision, now, wallClock))
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
    loadFailed: planner.failed,
    leads
  }
}

function isPlatformFailure (error: unknown): boolean {
  return error instanceof TransactionConflictError || error instanceof OutcomeUnknownError ||
    error instanceof PlatformUnavailableError
}

/** Models whose running rollouts are led by the given instance; samples of these models go there. */
export function ledBy (records: readonly RolloutRecord[], instance: string): readonly string[] {
  return records.filter(record => !isTerminal(record.phase) && record.phase !== RolloutPhase.pending &&
    leaderInstance(record.leader) === instance).map(record => record.model)
}
