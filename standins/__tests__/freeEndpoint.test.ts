import { afterEach, expect, it, vi } from 'vitest'
import { freeEndpoint } from '../freeEndpoint'

afterEach(() => { vi.unstubAllEnvs() })

it('hands no port out twice, since the first one may not listen yet', async () => {
  const ports = new Set<number>()
  for (let count = 0; count < 500; count += 1) ports.add((await freeEndpoint()).port)
  expect(ports.size).toBe(500)
})

it('hands no port to two workers, since they do not know of each other', async () => {
  const workersByPort = new Map<number, string>()
  for (const worker of ['1', '2', '3', '4', '5', '6']) {
    vi.stubEnv('VITEST_POOL_ID', worker)
    for (let count = 0; count < 100; count += 1) {
      const { port } = await freeEndpoint()
      expect(workersByPort.get(port) ?? worker).toBe(worker)
      workersByPort.set(port, worker)
    }
  }
  const ranges = ['1', '2', '3', '4', '5', '6'].map((worker) => {
    const ports = [...workersByPort].filter(([, holder]) => holder === worker).map(([port]) => port)
    return { lowest: Math.min(...ports), highest: Math.max(...ports) }
  }).sort((left, right) => left.lowest - right.lowest)
  for (const [index, { lowest }] of ranges.entries()) {
    if (index > 0) expect(lowest).toBeGreaterThan(ranges[index - 1]!.highest)
  }
})
