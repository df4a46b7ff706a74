/**
 * The list of edge instances in the store, by which quotas and retries are shared out. Each instance writes its row when
 * it starts, which also tells it the newest version of the store.
 */
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import { followTable, type Follower, type FollowerOptions } from './storeFollower'
import { createInstanceShares } from './instanceShares'
import type { Store, StoreRow } from './types'

const INSTANCE_TABLE = 'waxwingspoke-instances'
/** Milliseconds that a call waits; the list changes a few times a day. */
const FOLLOW_MS = 25_000
/** Milliseconds between attempts to write the own row. */
const WRITE_RETRY_MS = 500

/** Undefined for a row that no edge instance wrote. */
function readDataCentre (value: Buffer): string | undefined {
  try {
    const { dataCentre } = JSON.parse(value.toString('utf8')) as { dataCentre?: unknown }
    return typeof dataCentre === 'string' ? dataCentre : undefined
  } catch {
    // Only edge instances write here; a row that cannot be read counts as none.
    return undefined
  }
}

export interface InstanceList {
  /** Instances, this one included. */
  count: () => number
  /** Part between 0 and 1 that this instance has of what all may do together. */
  share: () => number
  /** Removes the own row; for a stop without return. */
  leave: () => Promise<void>
  stop: () => void
}

export function createInstanceList (
  options: Pick<FollowerOptions, 'store' | 'newestVersion' | 'now' | 'random'> & {
    store: Store, instance: string, dataCentre: string, log: EdgeLog
  }
): InstanceList {
  const { store, newestVersion, instance, dataCentre, log } = options
  const shares = createInstanceShares()
  shares.set(instance, dataCentre)
  let timer: NodeJS.Timeout | undefined

  async function register (): Promise<void> {
    const writes = [{ key: instance, value: JSON.stringify({ dataCentre }) }]
    const result = await store.commit({ table: INSTANCE_TABLE, conditions: [], writes, removals: [] })
    if (result.committed) newestVersion.value = Math.max(newestVersion.value, result.version)
  }

  function tryRegister (): void {
    register().catch((error: unknown) => {
      log(EdgeEvent.storeLost, { table: INSTANCE_TABLE, reason: reasonOf(error) })
      timer = setTimeout(tryRegister, WRITE_RETRY_MS)
    })
  }

  function take ({ key, value }: StoreRow): void {
    const place = value === undefined ? undefined : readDataCentre(value)
    if (place !== undefined) shares.set(key, place)
    else if (key !== instance) shares.delete(key)
  }

  function noteChange (): void {
    log(EdgeEvent.instancesChanged, { count: shares.count(), share: shares.share(dataCentre) })
  }

  tryRegister()
  const follower: Follower = followTable({
    ...options,
    table: INSTANCE_TABLE,
    wait: FOLLOW_MS,
    onRows (rows) {
      shares.clear()
      shares.set(instance, dataCentre)
      for (const row of rows) take(row)
      noteChange()
    },
    onChanges (rows) {
      for (const row of rows) take(row)
      noteChange()
    }
  })

  return {
    count: shares.count,
    share: () => shares.share(dataCentre),
    async leave () {
      await store.commit({ table: INSTANCE_TABLE, conditions: [], writes: [], removals: [instance] })
    },
    stop () {
      clearTimeout(timer)
      follower.stop()
    }
  }
}
