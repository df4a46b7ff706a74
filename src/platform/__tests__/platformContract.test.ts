/** Runs the same cases against the in-memory platform and against the HTTP client with the fake platform server. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { startPlatformServer } from '../../../standins/platform/server'
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../../errors'
import type { ListedInstance } from '../../types'
import { createHttpPlatformClient } from '../httpPlatformClient'
import { createMemoryPlatform } from '../memoryPlatform'
import type { MemoryPlatform } from '../memoryPlatform'
import type { PlatformClient } from '../types'

interface Subject {
  client: PlatformClient
  platform: MemoryPlatform
  close: () => Promise<void>
}

const subjects: Record<string, () => Promise<Subject>> = {
  async memory () {
    const platform = createMemoryPlatform()
    return { client: platform.client, platform, close: async () => {} }
  },
  async http () {
    const server = await startPlatformServer()
    const client = createHttpPlatformClient({ endpoint: server.endpoint })
    return {
      client,
      platform: server.platform,
      async close () {
        await client.close()
        await server.close()
      }
    }
  }
}

const instance: ListedInstance = {
  name: 'engine-1', kind: 'engine', dataCentre: 'a', endpoint: { host: '127.0.0.1', port: 1 }, state: 'live'
}

let identifiers = 0
function put (table: string, key: string, value: unknown, version?: number) {
  return {
    identifier: `t${++identifiers}`,
    conditions: version === undefined ? [] : [{ table, key, version }],
    writes: [{ table, key, value }]
  }
}

/** Test cases by the rule of the interface that they check. */
const cases: Record<string, (subject: Subject) => Promise<void>> = {
  async 'an absent row reads as undefined' ({ client }) {
    expect(await client.readRow('quota', 'fleet')).toBeUndefined()
  },
  async 'a committed row reads back with its version, also under keys that need escaping' ({ client }) {
    const { version } = await client.commit(put('keys', 'a/b c?%', { text: 'é', list: [1, null] }))
    expect(await client.readRow('keys', 'a/b c?%')).toEqual({ key: 'a/b c?%', value: { text: 'é', list: [1, null] }, version })
  },
  async 'a condition with version 0 requires that the row is absent' ({ client }) {
    await client.commit(put('t', 'k', 1, 0))
    await expect(client.commit(put('t', 'k', 2, 0))).rejects.toBeInstanceOf(TransactionConflictError)
  },
  async 'a conflict writes nothing, not even the rows whose conditions hold' ({ client }) {
    const { version } = await client.commit(put('t', 'a', 1))
    const transaction = {
      identifier: 'x',
      conditions: [{ table: 't', key: 'a', version }, { table: 't', key: 'b', version: 99 }],
      writes: [{ table: 't', key: 'a', value: 2 }, { table: 't', key: 'b', value: 2 }]
    }
    await expect(client.commit(transaction)).rejects.toBeInstanceOf(TransactionConflictError)
    expect((await client.readTable('t')).map((row) => row.value)).toEqual([1])
  },
  async 'an undefined value deletes the row, and the row then counts as absent' ({ client }) {
    await client.commit(put('t', 'k', 1))
    await client.commit(put('t', 'k', undefined))
    expect(await client.readRow('t', 'k')).toBeUndefined()
    await client.commit(put('t', 'k', 2, 0))
  },
  async 'a table read selects by version and prefix' ({ client }) {
    await client.commit(put('t', 'a/1', 1))
    const { version } = await client.commit(put('t', 'a/2', 2))
    await client.commit(put('t', 'b/1', 3))
    expect((await client.readTable('t', { prefix: 'a/' })).map((row) => row.key)).toEqual(['a/1', 'a/2'])
    expect((await client.readTable('t', { afterVersion: version })).map((row) => row.key)).toEqual(['b/1'])
  },
  async 'replica reads lag behind, strong reads do not' ({ client, platform }) {
    platform.faults.replicaLag = 60_000
    await client.commit(put('t', 'k', 1))
    expect(await client.readRow('t', 'k', { consistency: 'replica' })).toBeUndefined()
    expect(await client.readTable('t', { consistency: 'replica' })).toEqual([])
    expect((await client.readRow('t', 'k'))?.value).toBe(1)
  },
  async 'objects read back byte for byte' ({ client }) {
    const content = Uint8Array.from({ length: 1000 }, (_, index) => index % 256)
    await client.writeObject('configuration/1', content)
    expect(Buffer.from(await client.readObject('configuration/1') ?? []).equals(content)).toBe(true)
    expect(await client.readObject('configuration/2')).toBeUndefined()
  },
  async 'the instance list lags behind by the configured time' ({ client, platform }) {
    platform.setInstances([instance])
    expect((await client.listInstances()).instances).toEqual([instance])
    platform.faults.listLag = 5000
    platform.putInstance({ ...instance, state: 'leaving' })
    const list = await client.listInstances()
    expect(list.instances.map((entry) => entry.state)).not.toContain('leaving')
    expect(Date.now() - list.asOf).toBeGreaterThanOrEqual(5000)
  },
  async 'during an outage every call is rejected as not executed' ({ client, platform }) {
    platform.faults.outage = true
    const calls = [
      client.readRow('t', 'k'), client.readTable('t'), client.commit(put('t', 'k', 1)),
      client.readObject('o'), client.writeObject('o', new Uint8Array(1)), client.listInstances()
    ]
    for (const call of await Promise.allSettled(calls)) {
      expect(call).toMatchObject({ status: 'rejected', reason: expect.any(PlatformUnavailableError) })
    }
    platform.faults.outage = false
    expect(await client.readRow('t', 'k')).toBeUndefined()
  },
  async 'writes above the rate limit are queued, and rejected when the queue is too long' ({ client, platform }) {
    platform.faults.writeRate = 5
    const startedAt = performance.now()
    const calls = await Promise.allSettled(Array.from({ length: 20 }, async (_, index) => await client.commit(put('t', `${index}`, 1))))
    expect(performance.now() - startedAt).toBeGreaterThan(1900)
    const rejected = calls.filter((call) => call.status === 'rejected')
    expect(rejected.length).toBeGreaterThan(0)
    for (const call of rejected) expect(call.reason).toBeInstanceOf(PlatformUnavailableError)
    expect(await client.readTable('t')).toHaveLength(calls.length - rejected.length)
  },
  async 'a commit whose response is lost takes effect and reports an unknown outcome' ({ client, platform }) {
    platform.faults.loseAnswers = 1
    await expect(client.commit(put('t', 'k', 1))).rejects.toBeInstanceOf(OutcomeUnknownError)
    expect((await client.readRow('t', 'k'))?.value).toBe(1)
  },
  async 'an object write whose response is lost takes effect and reports an unknown outcome' ({ client, platform }) {
    platform.faults.loseAnswers = 1
    await expect(client.writeObject('o', Buffer.from('x'))).rejects.toBeInstanceOf(OutcomeUnknownError)
    expect(await client.readObject('o')).toBeDefined()
  }
}

describe.each(Object.keys(subjects))('platform client (%s)', (name) => {
  let subject: Subject
  beforeEach(async () => { subject = await (subjects[name] as () => Promise<Subject>)() })
  afterEach(async () => { await subject.close() })
  it.each(Object.keys(cases))('%s', async (title) => { await cases[title]?.(subject) })
})
