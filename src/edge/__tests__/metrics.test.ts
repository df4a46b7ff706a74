import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { EdgeEvent } from '../events'
import { createEdgeMetrics, type EdgeMetrics } from '../metrics'
import type { Store } from '../types'

const create = (): EdgeMetrics => createEdgeMetrics({
  exchanges: () => 3,
  instances: () => 9,
  pendingPeerQueries: () => 4,
  configurationVersion: () => 17,
  configurationAge: () => Infinity,
  storeEra: () => ({ current: () => 2, changes: () => 1 }),
  upstreams: () => new Map([['engines', 6]]),
  coldUpstreams: () => 2,
  evacuatedDataCentres: () => 1,
  admittedParts: () => new Map([['engines', 0.4]]),
  engineSpeeds: () => new Map([['engines', 27.5]]),
  crossingShares: () => new Map([['engines', 0.25]])
})

const store: Store = {
  read: async () => ({ rows: [], version: 1, storeTime: 0 }),
  follow: async (_table, after) => ({ rows: [], version: after, storeTime: 0 }),
  commit: async () => ({ committed: true, version: 2, storeTime: 0 }),
  close: () => {}
}

describe('createEdgeMetrics', () => {
  it('counts events and responses and observes latencies', async () => {
    const metrics = create()
    const finished = { status: 200, service: 'engines', duration: 120, firstByte: 40 }
    metrics.observe(EdgeEvent.requestFinished, finished)
    metrics.observe(EdgeEvent.requestFinished, { ...finished, firstByte: undefined })
    metrics.observe(EdgeEvent.requestRejected, { status: 429 })
    metrics.observe(EdgeEvent.requestRejected, { status: 503, obstacle: 'homes' })
    metrics.observe(EdgeEvent.requestRejected, { status: 503, refusedFor: 'share', priority: 2 })
    metrics.countDroppedLine()
    metrics.observePeerResponse('tokens', 4)
    const page = await metrics.render()
    for (const line of [
      'waxwingspoke_events_total{event="request.finished"} 2',
      'waxwingspoke_answers_total{status="200"} 2',
      'waxwingspoke_answers_total{status="429"} 1',
      'waxwingspoke_request_duration_milliseconds_bucket{le="150",service="engines"} 2',
      'waxwingspoke_request_duration_milliseconds_bucket{le="100",service="engines"} 0',
      'waxwingspoke_first_byte_milliseconds_count{service="engines"} 1',
      'waxwingspoke_peer_answer_milliseconds_bucket{le="5",question="tokens"} 1',
      'waxwingspoke_log_lines_left_out_total 1',
      'waxwingspoke_exchanges 3',
      'waxwingspoke_instances 9',
      'waxwingspoke_waiting_questions 4',
      'waxwingspoke_configuration_version 17',
      'waxwingspoke_configuration_age_milliseconds +Inf',
      'waxwingspoke_upstreams{service="engines"} 6',
      'waxwingspoke_cold_upstreams 2',
      'waxwingspoke_evacuated_data_centres 1',
      'waxwingspoke_home_refusals_total 1',
      'waxwingspoke_engine_speed_milliseconds{service="engines"} 27.5',
      'waxwingspoke_crossing_share{service="engines"} 0.25',
      'waxwingspoke_admitted_part{service="engines"} 0.4',
      'waxwingspoke_order_refusals_total{reason="share",priority="2"} 1'
    ]) expect(page.split('\n')).toContain(line)
  })

  it('counts calls to the store and forwards them', async () => {
    const metrics = create()
    const counted = metrics.withCallCounts(store)
    expect(await counted.follow('op', 7, 10)).toMatchObject({ version: 7 })
    await counted.read('op')
    await counted.commit({ table: 'lease', conditions: [], writes: [], removals: [] })
    const page = await metrics.render()
    for (const [call, table] of [['follow', 'op'], ['read', 'op'], ['commit', 'lease']]) {
      expect(page).toContain(`waxwingspoke_store_calls_total{call="${call}",table="${table}"} 1`)
    }
  })

  it('has exactly the metrics that the operations page documents', () => {
    const page = readFileSync('docs/OPERATIONS.md', 'utf8')
    const documented = [...page.matchAll(/^\| `(waxwingspoke_\w+)` \|/gm)].map(([, name]) => name)
    expect(documented.sort()).toEqual([...create().names()].sort())
  })
})
