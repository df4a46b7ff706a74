import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { EndReason } from '../../request/endReason'
import { LogEvent } from '../events'
import { MetricName } from '../metrics'

const page = readFileSync('docs/OPERATIONS.md', 'utf8')
const sources = readdirSync('src', { recursive: true, encoding: 'utf8' })
  .filter(file => file.endsWith('.ts') && !file.includes('__tests__'))
  .map(file => readFileSync(join('src', file), 'utf8'))
  .join('\n')
const KINDS: Readonly<Record<string, string>> = { increment: 'counter', gauge: 'gauge', timing: 'timing' }

/** Returns the cells of the table between two markers, without its two header lines. */
function tableRows (name: string): string[][] {
  const part = new RegExp(`<!-- ${name} begin -->\n\n(.*?)\n\n<!-- ${name} end -->`, 's').exec(page)?.[1] ?? ''
  return part.split('\n').slice(2).map(line => line.split('|').slice(1, -1).map(cell => cell.trim()))
}

function unquote (cell: string): string {
  return cell.replaceAll('`', '')
}

/** Returns the kinds and tags that the code uses to send a metric. */
function findMetricUses (key: string): { kinds: string[], tags: string[] } {
  const calls = [...sources.matchAll(new RegExp(`metrics\\.(\\w+)\\(MetricName\\.${key}\\b([^\\n]*)`, 'g'))]
  const tags = calls.flatMap(([,, rest]) => /\{([^}]*)\}/.exec(rest!)?.[1]?.split(',') ?? [])
  return {
    kinds: [...new Set(calls.map(([, method]) => KINDS[method!]!))],
    tags: [...new Set(tags.map(tag => tag.split(':')[0]!.trim()))].sort()
  }
}

describe('operations documentation', () => {
  it('lists exactly the metrics in the code, so that no alert uses a metric that does not exist', () => {
    expect(tableRows('metrics').map(([name]) => unquote(name!))).toEqual(Object.values(MetricName))
  })

  it.each(Object.entries(MetricName))('documents the kind and tags of %s (%s), or that it is not sent', (key, name) => {
    const [, kind, tags] = tableRows('metrics').find(([cell]) => unquote(cell!) === name)!
    const { kinds, tags: sent } = findMetricUses(key)
    // The search above only finds names passed directly to a metrics method. Any other use would leave the page unchecked.
    expect(sources.match(new RegExp(`MetricName\\.${key}\\b`, 'g')) ?? []).toHaveLength(
      [...sources.matchAll(new RegExp(`metrics\\.\\w+\\(MetricName\\.${key}\\b`, 'g'))].length
    )
    expect([kind]).toEqual(kinds.length === 0 ? ['none'] : kinds)
    expect(unquote(tags!).split(',').map(tag => tag.trim()).filter(tag => tag !== '').sort()).toEqual(sent)
  })

  it('lists exactly the log events in the code, so that log searches can cover all of them', () => {
    expect(tableRows('events').map(([name]) => unquote(name!))).toEqual(Object.values(LogEvent))
  })

  it('lists exactly the reasons for which a request can end', () => {
    expect(tableRows('reasons').map(([name]) => unquote(name!))).toEqual(Object.values(EndReason))
  })

  it.each(Object.entries(LogEvent))('marks %s (%s) as not logged if and only if no code uses it', (key, name) => {
    const meaning = tableRows('events').find(([cell]) => unquote(cell!) === name)![1]
    expect(meaning === 'not logged').toBe(!new RegExp(`LogEvent\\.${key}\\b`).test(sources))
  })
})
