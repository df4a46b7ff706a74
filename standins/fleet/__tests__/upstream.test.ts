import { createServer } from 'node:net'
import { expect, it } from 'vitest'
import { until } from '../../../platform/__tests__/edgeFixture'
import { eventText, PLAIN_ANSWER, startUpstreamStandIn } from '../upstream'

it('an upstream whose port is taken while it is away is back at another one', async () => {
  const upstream = await startUpstreamStandIn('orders-0', { restartAfter: 100 })
  const { address } = upstream
  let restarts = 0
  upstream.onRestart = () => { restarts += 1 }
  upstream.crash()
  const other = createServer()
  await new Promise<void>((resolve) => { other.listen(Number(address.split(':')[1]), '127.0.0.1', resolve) })
  await until(() => restarts > 0)
  expect(upstream.address).not.toBe(address)
  expect(restarts).toBe(1)
  other.close()
  await upstream.close()
})

const pause = async (milliseconds: number): Promise<void> => {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

// A pause that let bytes through would be no silence; one that lost bytes would be a trouble that excuses a router.
it.each<[string, number, string]>([
  ['a stream', 1, [1, 2, 3, 4, 5, 6].map(eventText).join('')], ['a plain answer', 0, PLAIN_ANSWER]
])('an upstream that is paused writes nothing and then all that came due: %s', async (_title, weights, whole) => {
  const upstream = await startUpstreamStandIn('engine-0', { weights, events: 6, pace: 20 })
  let received = ''
  const read = async (): Promise<void> => {
    const response = await fetch(`http://${upstream.address}/sheet/1`)
    for await (const bytes of response.body!) received += Buffer.from(bytes).toString()
  }
  const running = read()
  await until(() => upstream.runs.length === 1)
  upstream.isPaused = true
  const late = read()
  // What was written before the pause may still arrive.
  await pause(50)
  const before = received
  await pause(200)
  expect([received, upstream.runs.map(({ endedAt }) => endedAt)]).toEqual([before, [undefined, undefined]])
  upstream.isPaused = false
  await Promise.all([running, late])
  expect(received).toHaveLength(2 * whole.length)
  await upstream.close()
})

it('an upstream with its number of requests at work refuses the others until one has ended', async () => {
  const upstream = await startUpstreamStandIn('orders-0', { pace: 100 })
  upstream.maximumAtWork = 2
  const call = async (): Promise<[number, string | null]> => {
    const { status, headers } = await fetch(`http://${upstream.address}/order/1`)
    return [status, headers.get('not-executed')]
  }
  const first = [call(), call()]
  await until(() => upstream.runs.length === 2)
  expect(await call()).toEqual([503, '1'])
  expect(await Promise.all(first)).toEqual([[200, null], [200, null]])
  expect(await call()).toEqual([200, null])
  await upstream.close()
})
