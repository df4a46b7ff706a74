/**
 * The list of edge instances in the store, by which quotas and retries are shared out. Each instance writes its row when
 * it starts, which also tells it the newest version of the store.
 */
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import { followTable, type Follower, type FollowerOptions } from './storeFollower'
import type { Store } from './types'

const INSTANCE_TABLE = 'waxwingspoke-instances'
/** Milliseconds that a call waits; the list changes a few times a day. */
const FOLLOW_MS = 25_000
/** Milliseconds between attempts to write the own row. */
const WRITE_RETRY_MS = 500

export interface InstanceList {
  /** Instances, this one included. */
  count: () => number
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
  const names = new Set([instance])
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

  tryRegister()
  const follower: Follower = followTable({
    ...options,
    table: INSTANCE_TABLE,
    wait: FOLLOW_MS,
    onRows (rows) {
      names.clear()
      names.add(instance)
      for (const { key } of rows) names.add(key)
      log(EdgeEvent.instancesChanged, { count: names.size })
    },
    onChanges (rows) {
      for (const { key, value } of rows) {
        if (value !== undefined) names.add(key)
        else if (key !== instance) names.delete(key)
      }
      log(EdgeEvent.instancesChanged, { count: names.size })
    }
  })

  return {
    count: () => names.size,
    async leave () {
      await store.commit({ table: INSTANCE_TABLE, conditions: [], writes: [], removals: [instance] })
    },
    stop () {
      clearTimeout(timer)
      follower.stop()
    }
  }
}
