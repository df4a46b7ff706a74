import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { LogEvent } from '../events'
import { MetricName } from '../metrics'

const page = readFileSync('docs/OPERATIONS.md', 'utf8')
const sources = readdirSync('src', { recursive: true, encoding: 'utf8' })
  .filter(file => file.endsWith('.ts') && !file.includes('__tests__'))
  .map(file => readFileSync(join('src', file), 'utf8'))
  .join('\n')
const KINDS: Readonly<Record<string, string>> = { increment: 'counter', gauge: 'gauge', timing: 'timing' }

/** Cells of the table between two markers, without its two heading lines. */
function tableRows (name: string): string[][] {
  const part = new RegExp(`<!-- ${name} begin -->\n\n(.*?)\n\n<!-- ${name} end -->`, 's').exec(page)?.[1] ?? ''
  return part.split('\n').slice(2).map(line => line.split('|').slice(1, -1).map(cell => cell.trim()))
}

function unquote (cell: string): string {
  return cell.replaceAll('`', '')
}

/** Kinds and tags with which the code sends a metric. */
function uses (key: string): { kinds: string[], tags: string[] } {
  const calls = [...sources.matchAll(new RegExp(`metrics\\.(\\w+)\\(MetricName\\.${key}\\b([^\\n]*)`, 'g'))]
  const tags = calls.flatMap(([,, rest]) => /\{([^}]*)\}/.exec(rest!)?.[1]?.split(',') ?? [])
  return {
    kinds: [...new Set(calls.map(([, method]) => KINDS[method!]!))],
    tags: [...new Set(tags.map(tag => tag.split(':')[0]!.trim()))].sort()
  }
}

describe('documentation of operations', () => {
  it('lists exactly the metrics of the code, so that no alarm watches a name that does not exist', () => {
    expect(tableRows('metrics').map(([name]) => unquote(name!))).toEqual(Object.values(MetricName))
  })

  it.each(Object.entries(MetricName))('states kind and tags with which the code sends %s (%s), or that it does not', (key, name) => {
    const [, kind, tags] = tableRows('metrics').find(([cell]) => unquote(cell!) === name)!
    const { kinds, tags: sent } = uses(key)
    // Another way of passing the name would escape the search above and leave the page unchecked.
    expect(sources.match(new RegExp(`MetricName\\.${key}\\b`, 'g')) ?? []).toHaveLength(
      [...sources.matchAll(new RegExp(`metrics\\.\\w+\\(MetricName\\.${key}\\b`, 'g'))].length
    )
    expect([kind]).toEqual(kinds.length === 0 ? ['none'] : kinds)
    expect(unquote(tags!).split(',').map(tag => tag.trim()).filter(tag => tag !== '').sort()).toEqual(sent)
  })

  it('lists exactly the log events of the code, so that no search of a log misses one', () => {
    expect(tableRows('events').map(([name]) => unquote(name!))).toEqual(Object.values(LogEvent))
  })

  it.each(Object.entries(LogEvent))('marks %s (%s) as not logged if and only if no code names it', (key, name) => {
    const meaning = tableRows('events').find(([cell]) => unquote(cell!) === name)![1]
    expect(meaning === 'not logged').toBe(!new RegExp(`LogEvent\\.${key}\\b`).test(sources))
  })
})
