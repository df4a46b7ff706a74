/**
 * Makes a configuration current: writes its object, then swaps the row `configuration/current` under the condition that
 * the row has not changed since it was read.
 */
import { PlatformTable } from '../constants'
import { OutcomeUnknownError, RevisionConflictError, TransactionConflictError } from '../errors'
import type { PlatformClient, TableRow } from '../platform/types'
import type { ConfigurationRevision, FleetConfiguration, WallClockMilliseconds } from '../types'
import { parseStoredConfiguration, serializeFleetConfiguration } from './fleetConfiguration'

export const CURRENT_ROW = 'current'

/** Past operations kept in the row, so that a writer whose answer was lost can see that its change took effect and was followed by others. */
const HISTORY_LENGTH = 32

/** How often a swap is sent again after an unknown outcome that a read showed not to have taken effect. */
const MAXIMUM_ATTEMPTS = 3

/** Value of the row `configuration/current`. */
export interface CurrentRevision {
  revision: number
  /** Chosen by the operator's command; unique for each call of `apply`. */
  operation: string
  appliedAt: WallClockMilliseconds
  /** Earlier revisions and their operations, newest first. */
  history: ReadonlyArray<{ revision: number, operation: string }>
}

/**
 * Name of the object of a revision. It contains the operation, because two racing operators write objects of the same
 * revision number and the loser must not overwrite the object that the winner has made current.
 */
export function configurationObjectName (current: Pick<CurrentRevision, 'revision' | 'operation'>): string {
  return `configuration/${current.revision}-${current.operation}`
}

/** Reads the current row; undefined when nothing has been applied. */
export async function readCurrentRow (
  platform: PlatformClient, consistency: 'strong' | 'replica' = 'strong'
): Promise<TableRow<CurrentRevision> | undefined> {
  return await platform.readRow<CurrentRevision>(PlatformTable.configuration, CURRENT_ROW, { consistency })
}

/** Reads the current configuration; undefined when nothing has been applied. */
export async function readCurrentConfiguration (platform: PlatformClient): Promise<ConfigurationRevision | undefined> {
  const row = await readCurrentRow(platform)
  if (row === undefined) return undefined
  return { revision: row.value.revision, configuration: await readConfigurationObject(platform, row.value) }
}

export async function readConfigurationObject (
  platform: PlatformClient, current: CurrentRevision
): Promise<FleetConfiguration> {
  const name = configurationObjectName(current)
  const content = await platform.readObject(name)
  // The object is written before the row, so a missing object comes from a lagging replica of the object store.
  if (content === undefined) throw new OutcomeUnknownError(`object '${name}' is not visible yet`, { retryAfterSeconds: 1 })
  return parseStoredConfiguration(name, content)
}

/**
 * Applies a configuration on top of `expectedRevision` (0 when nothing has been applied).
 * Rejects with `RevisionConflictError` when another revision is current, with `PlatformUnavailableError` when nothing was
 * changed, and with `OutcomeUnknownError` when the platform could not be asked whether the change took effect.
 */
export async function applyConfiguration (
  platform: PlatformClient, configuration: FleetConfiguration, expectedRevision: number, operation: string,
  now: WallClockMilliseconds
): Promise<ConfigurationRevision> {
  const before = await readCurrentRow(platform)
  if ((before?.value.revision ?? 0) !== expectedRevision) throw conflict(expectedRevision, before)
  const next: CurrentRevision = {
    revision: expectedRevision + 1,
    operation,
    appliedAt: now,
    history: before === undefined
      ? []
      : [
          { revision: before.value.revision, operation: before.value.operation }, ...before.value.history
        ].slice(0, HISTORY_LENGTH)
  }
  await writeObjectOnce(platform, next, configuration)
  const applied = { revision: next.revision, configuration }
  for (let attempt = 1; ; attempt++) {
    try {
      await platform.commit({
        identifier: `${operation}/${attempt}`,
        conditions: [{ table: PlatformTable.configuration, key: CURRENT_ROW, version: before?.version ?? 0 }],
        writes: [{ table: PlatformTable.configuration, key: CURRENT_ROW, value: next }]
      })
      return applied
    } catch (error) {
      const unknown = error instanceof OutcomeUnknownError
      if (!unknown && !(error instanceof TransactionConflictError)) {
        // A refusal of a later attempt says nothing about the first one, whose answer was lost.
        if (attempt === 1) throw error
        throw new OutcomeUnknownError(`cannot tell whether operation '${operation}' took effect`, { cause: error })
      }
      const outcome = await readOutcome(platform, operation, before, error)
      if (outcome === 'applied') return applied
      if (outcome.superseded) throw conflict(expectedRevision, outcome.row, error)
      if (attempt === MAXIMUM_ATTEMPTS) throw error
    }
  }
}

async function writeObjectOnce (
  platform: PlatformClient, next: CurrentRevision, configuration: FleetConfiguration
): Promise<void> {
  const content = serializeFleetConfiguration(configuration)
  for (let attempt = 1; ; attempt++) {
    try {
      await platform.writeObject(configurationObjectName(next), content)
      return
    } catch (error) {
      // Writing the same content under the same name again has no other effect than writing it once.
      if (!(error instanceof OutcomeUnknownError) || attempt === MAXIMUM_ATTEMPTS) throw error
    }
  }
}

type Outcome = 'applied' | { superseded: boolean, row: TableRow<CurrentRevision> | undefined }

async function readOutcome (
  platform: PlatformClient, operation: string, before: TableRow<CurrentRevision> | undefined, cause: unknown
): Promise<Outcome> {
  let row: TableRow<CurrentRevision> | undefined
  try {
    row = await readCurrentRow(platform)
  } catch (error) {
    // After a conflict answer of the first attempt nothing was written; after a lost answer nobody can tell.
    throw new OutcomeUnknownError(`cannot tell whether operation '${operation}' took effect`, { cause: error })
  }
  if (row?.value.operation === operation) return 'applied'
  if (row?.value.history.some(past => past.operation === operation)) return 'applied'
  if (row?.version === before?.version) return { superseded: false, row }
  const oldest = row?.value.history.at(-1)?.revision ?? 1
  const expected = before?.value.revision ?? 0
  if (oldest > expected + 1) throw new OutcomeUnknownError(`operation '${operation}' is too old to be found`, { cause })
  return { superseded: true, row }
}

function conflict (
  expected: number, row: TableRow<CurrentRevision> | undefined, cause?: unknown
): RevisionConflictError {
  return new RevisionConflictError(
    `expected revision ${expected}, but revision ${row?.value.revision ?? 0} is current; plan again`, { cause })
}
