import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { OutcomeUnknownError } from '../../errors'
import { createMemoryPlatform, type MemoryPlatform } from '../../platform/memoryPlatform'
import type { PlatformClient } from '../../platform/types'
import { createIdempotencyGuard, RETENTION_MS } from '../idempotency'
import type { IdempotencyGuard, ReservationOutcome, ReservationRecord } from '../idempotency'

const WALL_CLOCK = 1_700_000_000_000
const response = { status: 201, contentType: 'application/json', body: Buffer.from('{"order":1}') }

function createGuard (platform: PlatformClient, instance: string): IdempotencyGuard {
  let count = 0
  return createIdempotencyGuard({
    platform, instance, incarnation: 1, createIdentifier: () => `${instance}-${count++}`
  })
}

/** Wraps a client: after `delayNext`, the next commit is reported as lost and applied only by `applyDelayed`. */
function delayLostInserts (platform: PlatformClient): {
  client: PlatformClient, delayNext: () => void, applyDelayed: () => Promise<void>
} {
  const delayed: Array<Parameters<PlatformClient['commit']>[0]> = []
  let delay = false
  return {
    client: {
      ...platform,
      async commit (transaction) {
        if (!delay) return await platform.commit(transaction)
        delay = false
        delayed.push(transaction)
        throw new OutcomeUnknownError('timed out')
      }
    },
    delayNext: () => { delay = true },
    async applyDelayed () {
      for (const transaction of delayed.splice(0)) await platform.commit(transaction).catch(() => undefined)
    }
  }
}

/** Wraps a client that writes rows without the lengths of objects. */
function withoutLengths (platform: PlatformClient): PlatformClient {
  return {
    ...platform,
    async commit (transaction) {
      for (const { value } of transaction.writes) delete (value as ReservationRecord | undefined)?.answer?.objectBytes
      return await platform.commit(transaction)
    }
  }
}

describe('idempotency guard', () => {
  it.each([
    ['small', Buffer.from('{"order":1}')],
    ['too large for a row', Buffer.alloc(40_000, 'x')]
  ])('returns the stored response for a repeated key when it is %s', async (_, body) => {
    const platform = createMemoryPlatform()
    const [first, second] = [createGuard(platform.client, 'a'), createGuard(platform.client, 'b')]
    const outcome = await first.reserve('c', 'k', 'f', WALL_CLOCK)
    expect(outcome.kind).toBe('run')
    expect((await second.reserve('c', 'k', 'f', WALL_CLOCK)).kind).toBe('inDoubt')
    await first.complete((outcome as Extract<ReservationOutcome, { kind: 'run' }>).reservation, { ...response, body })
    const repeat = await second.reserve('c', 'k', 'f', WALL_CLOCK)
    expect(repeat.kind === 'stored' && Buffer.from(repeat.response.body).equals(body)).toBe(true)
  })

  it.each([
    ['rejects a different body with the same key', 'c', 'other', 'mismatch'],
    ['permits the same key for another customer', 'd', 'f', 'run']
  ])('%s', async (_, customer, fingerprint, expected) => {
    const guard = createGuard(createMemoryPlatform().client, 'a')
    await guard.reserve('c', 'k', 'f', WALL_CLOCK)
    expect((await guard.reserve(customer, 'k', fingerprint, WALL_CLOCK)).kind).toBe(expected)
  })

  it('permits execution when the response to the insert is lost but a read shows the row, and not when the platform is unavailable', async () => {
    const platform = createMemoryPlatform()
    const guard = createGuard(platform.client, 'a')
    platform.faults.loseAnswers = 1
    expect((await guard.reserve('c', 'k', 'f', WALL_CLOCK)).kind).toBe('run')
    platform.faults.outage = true
    expect((await guard.reserve('c', 'k2', 'f', WALL_CLOCK)).kind).toBe('unavailable')
  })

  it('permits reuse of a key after its release, also when the store applied the insert late', async () => {
    const platform = createMemoryPlatform()
    const slow = delayLostInserts(platform.client)
    const guard = createGuard(slow.client, 'a')
    slow.delayNext()
    const outcome = await guard.reserve('c', 'k', 'f', WALL_CLOCK)
    expect(outcome.kind).toBe('run')
    await slow.applyDelayed()
    await guard.release((outcome as Extract<ReservationOutcome, { kind: 'run' }>).reservation)
    expect((await guard.reserve('c', 'k', 'f', WALL_CLOCK)).kind).toBe('run')
  })

  it('permits at most one execution per key over all instances, with outages, lost responses and late writes', async () => {
    const step = fc.record({
      guard: fc.nat(2),
      key: fc.nat(1),
      lose: fc.nat(2),
      delay: fc.boolean(),
      outage: fc.nat(5).map((n) => n === 0),
      end: fc.constantFrom('complete', 'release', 'crash'),
      applyDelayed: fc.boolean()
    })
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
      const platform = createMemoryPlatform()
      const slow = delayLostInserts(platform.client)
      const guards = ['a', 'b', 'c'].map((name) => createGuard(slow.client, name))
      const executions = new Map<string, number>()
      for (const { guard, key, lose, delay, outage, end, applyDelayed } of steps) {
        Object.assign(platform.faults, { loseAnswers: lose, outage })
        if (delay) slow.delayNext()
        const outcome = await guards[guard]!.reserve('c', `k${key}`, 'f', WALL_CLOCK)
        if (applyDelayed) await slow.applyDelayed()
        if (outcome.kind === 'run') {
          // A release represents an attempt that never reached an upstream; all other ends count as an execution.
          if (end === 'release') await guards[guard]!.release(outcome.reservation)
          else executions.set(`k${key}`, (executions.get(`k${key}`) ?? 0) + 1)
          if (end === 'complete') await guards[guard]!.complete(outcome.reservation, response)
        }
        if (outcome.kind === 'stored') expect(executions.get(`k${key}`)).toBe(1)
        await guards[guard]!.tick()
      }
      for (const count of executions.values()) expect(count).toBe(1)
    }), { seed: 4, numRuns: 300 })
  })

  // Guards against a caller that repeats one key until the stored responses exhaust the memory.
  it.each([
    ['its length', (platform: MemoryPlatform) => platform.client, 80_000],
    ['the longest one, in rows of earlier releases', (platform: MemoryPlatform) => withoutLengths(platform.client), 2 * 16_777_216]
  ])('reads a long stored response only once there is memory for %s twice', async (_, clientOf, expected) => {
    const platform = createMemoryPlatform()
    const guard = createGuard(clientOf(platform), 'a')
    const outcome = await guard.reserve('c', 'k', 'f', WALL_CLOCK)
    const { reservation } = outcome as Extract<ReservationOutcome, { kind: 'run' }>
    await guard.complete(reservation, { ...response, body: Buffer.alloc(40_000, 'x') })
    const reserved: number[] = []
    let isFree = (): void => {}
    const repeated = guard.reserve('c', 'k', 'f', WALL_CLOCK, async (bytes) => {
      reserved.push(bytes)
      platform.faults.outage = true
      await new Promise<void>((resolve) => { isFree = resolve })
      platform.faults.outage = false
    })
    await expect.poll(() => reserved).toEqual([expected])
    isFree()
    expect((await repeated).kind).toBe('stored')
  })

  it('completes writes that were delayed by an outage', async () => {
    const platform = createMemoryPlatform()
    const guard = createGuard(platform.client, 'a')
    const outcome = await guard.reserve('c', 'k', 'f', WALL_CLOCK)
    platform.faults.outage = true
    await guard.complete((outcome as Extract<ReservationOutcome, { kind: 'run' }>).reservation, response)
    expect(guard.pendingWrites()).toBe(1)
    platform.faults.outage = false
    await guard.tick()
    expect([guard.pendingWrites(), (await guard.reserve('c', 'k', 'f', WALL_CLOCK)).kind]).toEqual([0, 'stored'])
  })

  it('deletes old rows of one customer only, and keeps rows within the retention time', async () => {
    const platform = createMemoryPlatform()
    const guard = createGuard(platform.client, 'a')
    for (const [customer, key, at] of [['c', 'old', 0], ['c', 'new', 1000], ['cc', 'old', 0]] as const) {
      await guard.reserve(customer, key, 'f', WALL_CLOCK + at)
    }
    const later = WALL_CLOCK + RETENTION_MS + 500
    platform.faults.outage = true
    expect(await guard.sweep('c', later)).toBe(0)
    platform.faults.outage = false
    expect(await guard.sweep('c', later)).toBe(1)
    const kinds = []
    for (const [customer, key] of [['c', 'old'], ['c', 'new'], ['cc', 'old']] as const) {
      kinds.push((await guard.reserve(customer, key, 'f', later)).kind)
    }
    expect(kinds).toEqual(['run', 'inDoubt', 'inDoubt'])
  })

  it('permits two executions without the condition on the row, which shows that the test above can fail', async () => {
    const { client } = createMemoryPlatform()
    const unconditional: PlatformClient = {
      ...client, commit: async (transaction) => await client.commit({ ...transaction, conditions: [] })
    }
    const kinds = []
    for (const name of ['a', 'b']) {
      kinds.push((await createGuard(unconditional, name).reserve('c', 'k', 'f', WALL_CLOCK)).kind)
    }
    expect(kinds).toEqual(['run', 'run'])
  })
})
