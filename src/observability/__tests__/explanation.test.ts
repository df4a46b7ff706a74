import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'
import { runExplainCommand } from '../../cli/explainCommand'
import { UsageError } from '../../errors'
import { createExplanationCollector, explainRequest, parseEdgeLine } from '../explanation'

/** Log lines recorded from edge daemons on two days with failures. */
const RECORDED = fileURLToPath(new URL('failingDay.jsonl', import.meta.url))

describe('explainRequest', () => {
  it.each([
    {
      name: 'a rate-limited request',
      identifier: 'c5d5cc066b70e67e',
      conclusion: [
        'Instance front-wa-south-d-1. It was sent to no upstream.',
        'The router answered 429: 3755 of 11228 units are missing at 10 instances. It has not run.',
        'The rate of customer devo563 was used up at the instances that were asked.',
        '3 other requests of this customer were refused at 3 instances at that time.'
      ]
    },
    {
      name: 'a request rejected with 502 after an attempt',
      identifier: '066a890908127965',
      conclusion: [
        'Instance front-norte-b-13. It was sent to i-0d96684b23.',
        'The router answered 502: no byte for 761 ms. It may have run; the outcome is not known.',
        '5 other attempts at i-0d96684b23 failed at that time.'
      ]
    },
    {
      name: 'an incomplete stream',
      identifier: '61a8927a7703f160',
      conclusion: [
        'Instance front-wa-south-d-11. It was sent to i-ee4d380583.',
        'Part of an answer went out, then it broke off: the time limit passed. Last whole event: 11.'
      ]
    },
    {
      name: 'a successful request',
      identifier: '13340c478e6909d8',
      conclusion: ['Instance front-norte-b-11. It was sent to i-0d96684b23.', 'i-0d96684b23 answered 200: end after 397 ms.']
    },
    {
      name: 'a request cancelled by its caller',
      identifier: '586a68822fcb4ad8',
      conclusion: [
        'Instance front-norte-c-9. It was sent to i-63023d62a5, then i-c98da1b1f9.',
        'The caller left before the answer was complete.'
      ]
    },
    {
      name: 'a request without a final log line',
      identifier: 'fa6f9580131b0c2a',
      conclusion: [
        'Instance front-wa-south-a-7. It was sent to i-ebe6d74db2.',
        'No line tells how it ended: the process ended, or lines were left out.'
      ]
    },
    {
      name: 'a request without log lines',
      identifier: 'unknown',
      conclusion: [
        'No line names request unknown: the files are not those of its instance and time, or its lines were left out.'
      ]
    }
  ])('explains $name', async ({ identifier, conclusion }) => {
    expect((await explainRequest(identifier, [RECORDED])).conclusion).toEqual(conclusion)
  })

  it('reports upstream failures only from the time window of the request', () => {
    const collector = createExplanationCollector('r1')
    const lines = [
      { time: 10_000, event: 'upstream.lost', upstream: 'e1' },
      { time: 19_000, event: 'attempt.failed', upstream: 'e1', requestIdentifier: 'r0' },
      { time: 19_500, event: 'upstream.restarted', upstream: 'e1' },
      { time: 20_000, event: 'request.routed', upstream: 'e1', requestIdentifier: 'r1' },
      { time: 20_100, event: 'request.refused', status: 504, reason: 'late', runs: 1, requestIdentifier: 'r1' }
    ].map((line) => parseEdgeLine(JSON.stringify({ level: 'info', instance: 'router-1', ...line }))!)
    lines.forEach(collector.collectOwn)
    lines.forEach(collector.collectSurroundings)
    expect(collector.explain().conclusion.slice(2)).toEqual([
      '1 other attempts at e1 failed at that time.', 'e1: upstream.restarted.'
    ])
  })
})

describe('parseEdgeLine', () => {
  it.each([
    { name: 'a line with a prefix', text: '12.5 a {"time":1,"instance":"a","event":"edge.started"}', isLine: true },
    { name: 'a truncated line', text: '{"time":1,"instance":"a","ev', isLine: false },
    { name: 'plain text', text: 'out of memory', isLine: false },
    { name: 'an unrelated JSON object', text: '{"event":"edge.started"}', isLine: false }
  ])('recognises $name', ({ text, isLine }) => {
    expect(parseEdgeLine(text) !== undefined).toBe(isLine)
  })
})

describe('the explain command', () => {
  it('prints the lines of the request, its surroundings and the conclusion', async () => {
    let printed = ''
    await runExplainCommand('066a890908127965', [RECORDED], (text) => { printed += text })
    expect(printed).toContain('The request:')
    expect(printed).toContain('      0 ms  front-norte-b-13  request.routed  upstream=i-0d96684b23')
    expect(printed).toContain('At that time (5 of 5 lines):')
    expect(printed).toContain('It may have run; the outcome is not known.')
  })

  it.each([
    { name: 'an identifier', identifier: undefined, files: [] },
    { name: 'files', identifier: 'r1', files: [] }
  ])('is rejected without $name', async ({ identifier, files }) => {
    await expect(runExplainCommand(identifier, files, () => {})).rejects.toBeInstanceOf(UsageError)
  })
})
