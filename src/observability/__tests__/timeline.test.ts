import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createHybridClock } from '../hybridClock'
import { mergeTimeline, renderTimelineText } from '../timeline'
import { renderTimelinePage } from '../timelinePage'

/** One step in a run of several processes: a local event, or a message from one process to another. */
const step = fc.record({ from: fc.nat(3), to: fc.nat(3), elapsed: fc.nat(20) })

function formatLogLine (instance: string, clock: string, time: number, fields: object): string {
  return JSON.stringify({ level: 'info', instance, incarnation: 1, clock, time, event: 'request.routed', ...fields })
}

describe('mergeTimeline', () => {
  // Guards against a timeline that shows an effect before its cause if wall clocks differ by seconds.
  it('orders every received message after its sending', () => {
    fc.assert(fc.property(
      fc.array(step, { maxLength: 60 }),
      fc.array(fc.integer({ min: -20_000, max: 20_000 }), { minLength: 4, maxLength: 4 }),
      fc.infiniteStream(fc.nat()),
      (steps, skews, order) => {
        const clocks = skews.map(() => createHybridClock())
        const lines: string[] = []
        let now = 1_700_000_000_000
        steps.forEach(({ from, to, elapsed }, index) => {
          now += elapsed
          const wall = (process: number): number => now + (skews[process] as number)
          const sent = clocks[from]?.tick(wall(from)) as string
          lines.push(formatLogLine(`p${from}`, sent, wall(from), { message: index, part: 'sent' }))
          if (from === to) return
          clocks[to]?.observe(sent, wall(to))
          lines.push(formatLogLine(`p${to}`, clocks[to]?.tick(wall(to)) as string, wall(to), { message: index, part: 'received' }))
        })
        const shuffled = lines.map((text) => ({ text, rank: order.next().value as number }))
          .sort((left, right) => left.rank - right.rank).map(({ text }) => text)
        const { entries, malformedLines } = mergeTimeline(shuffled)
        expect(malformedLines).toBe(0)
        expect(entries).toHaveLength(lines.length)
        const sent = new Set<unknown>()
        for (const { fields } of entries) {
          if (fields.part === 'sent') sent.add(fields.message)
          else expect(sent.has(fields.message)).toBe(true)
        }
      }
    ))
  })

  // Guards against one truncated line of a killed process making the entire timeline unreadable.
  it('counts and skips malformed lines', () => {
    fc.assert(fc.property(fc.array(fc.string()), (randomTexts) => {
      const good = formatLogLine('a', '01700000000000.000000', 1, {})
      const lines = randomTexts.flatMap((text) => [text, good.slice(0, good.length - 1 - (text.length % 20)), good])
      const { entries, malformedLines } = mergeTimeline(lines)
      expect(entries).toHaveLength(randomTexts.length)
      expect(malformedLines).toBe(randomTexts.length + randomTexts.filter((text) => text.trim() !== '').length)
    }))
  })

  it.each([
    [{ request: 'r1' }, 1], [{ customer: 'c2' }, 1], [{ upstream: 'e1' }, 2], [{ rollout: 'm' }, 1],
    [{ request: 'r1', customer: 'c2' }, 0], [{}, 3]
  ])('filters by %j', (filter, count) => {
    const lines = [
      formatLogLine('a', '01700000000000.000000', 1, { requestIdentifier: 'r1', customer: 'c1', upstream: 'e1' }),
      formatLogLine('a', '01700000000000.000001', 1, { requestIdentifier: 'r2', customer: 'c2', upstream: 'e1' }),
      formatLogLine('b', '01700000000000.000001', 1, { rollout: 'm' })
    ]
    expect(mergeTimeline(lines, filter).entries).toHaveLength(count)
  })

  // Guards against HTML injection through log content.
  it('escapes fields in the page', () => {
    const timeline = mergeTimeline([formatLogLine('<a>', '01700000000000.000000', 1, { note: '<script>' })])
    expect(renderTimelinePage(timeline)).not.toContain('<script>')
    expect(renderTimelineText(timeline)).toContain('note=<script>')
  })
})
