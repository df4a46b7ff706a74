import { createServer } from 'node:net'
import { expect, it } from 'vitest'
import { until } from '../../../platform/__tests__/edgeFixture'
import { startUpstreamStandIn } from '../upstream'

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
