import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { CommandOutcome, type EngineControl, type Instant, type UpstreamEntry } from '../types'
import { createUpstreamDirectory, type UpstreamDirectory } from '../upstreamDirectory'
import { createWeightsRollout, type WeightsRollout } from '../weightsRollout'
import { startWeightsTask, type WeightsTask } from '../weightsRolloutTask'
import { createEntry } from './fixtures'

const PERMIT_WAIT_MS = 1500

let directory: UpstreamDirectory
let rollout: WeightsRollout
let task: WeightsTask
let calls: string[]

beforeEach(() => {
  vi.useFakeTimers()
  directory = createUpstreamDirectory()
  directory.replace([createEntry('a')], false, 0)
  rollout = createWeightsRollout()
  rollout.setTarget({ model: 'small', version: 2 }, undefined)
  calls = []
  const control = {
    async report ({ startedAt }: UpstreamEntry) {
      calls.push(`report ${startedAt}`)
      return { acceptedCommands: 0, busy: false, weights: [{ model: 'small', version: 1 }] }
    },
    async sendWeightsCommand (_upstream: UpstreamEntry, { version }: { version: number }) {
      calls.push(`command ${version}`)
      return CommandOutcome.accepted
    }
  } as unknown as EngineControl
  task = startWeightsTask({
    instance: 'router-1',
    control,
    permits: {
      async waitFor () {
        await new Promise((resolve) => { setTimeout(resolve, PERMIT_WAIT_MS) })
        return true
      }
    },
    lease: { token: () => 1 },
    rollout,
    directory,
    isStopping: () => false,
    refreshLoads: async () => {},
    onUpstreamHint: () => {},
    publish: () => {},
    log: () => {},
    now: (): Instant => ({ steady: performance.now(), wall: Date.now() })
  })
})
afterEach(() => {
  task.stop()
  vi.useRealTimers()
})

describe('a step of a weights rollout that waited for a permit', () => {
  it('is performed when nothing has changed', async () => {
    await vi.advanceTimersByTimeAsync(2 * PERMIT_WAIT_MS + 500)
    expect(calls).toEqual(['report 1', 'command 2'])
  })

  it.each<[string, () => void]>([
    ['the engine has announced that it is leaving', () => { directory.markLeaving('a', 1) }],
    ['the engine is gone', () => { directory.remove('a', false, performance.now()) }]
  ])('is not performed when %s', async (_title, change) => {
    await vi.advanceTimersByTimeAsync(PERMIT_WAIT_MS / 2)
    change()
    await vi.advanceTimersByTimeAsync(2 * PERMIT_WAIT_MS)
    expect(calls).toEqual([])
  })

  it('does not load weights that were superseded meanwhile', async () => {
    await vi.advanceTimersByTimeAsync(1.5 * PERMIT_WAIT_MS)
    rollout.setTarget({ model: 'small', version: 3 }, undefined)
    await vi.advanceTimersByTimeAsync(4 * PERMIT_WAIT_MS)
    expect(calls).not.toContain('command 2')
    expect(calls).toContain('command 3')
  })
})
