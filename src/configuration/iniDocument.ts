/** Parses INI text into sections and entries with line numbers. The `ini` library parses the entries line by line. */
import { parse } from 'ini'
import type { FileFinding } from '../errors'

export interface IniEntry {
  key: string
  value: string
  /** Line number, starting at 1. */
  line: number
}

export interface IniSection {
  /** Text between the brackets with whitespace collapsed; empty for entries before the first section. */
  name: string
  line: number
  entries: readonly IniEntry[]
}

export interface IniDocument {
  sections: readonly IniSection[]
  findings: readonly FileFinding[]
}

/**
 * Splits the text into sections. The `ini` library does not report line numbers and treats dots in section names as
 * nesting, so only single `key = value` lines are passed to it.
 */
export function readIniDocument (file: string, text: string): IniDocument {
  const findings: FileFinding[] = []
  const sections: Array<{ name: string, line: number, entries: IniEntry[] }> = []
  let section = { name: '', line: 0, entries: [] as IniEntry[] }
  sections.push(section)
  for (const [index, raw] of text.replace(/^\uFEFF/, '').split(/\r?\n/).entries()) {
    const line = index + 1
    const content = raw.trim()
    if (content === '' || content.startsWith(';') || content.startsWith('#')) continue
    const header = /^\[([^\]]*)\]\s*(?:[;#].*)?$/.exec(content)
    if (header !== null) {
      section = { name: header[1]!.trim().replace(/\s+/g, ' '), line, entries: [] }
      sections.push(section)
      continue
    }
    const entry = readEntry(content, line)
    if (entry === undefined) {
      findings.push({ file, line, key: content.slice(0, 40), message: 'expected [section] or key = value' })
      continue
    }
    const previousEntry = section.entries.find(other => other.key === entry.key)
    if (previousEntry !== undefined) {
      findings.push({ file, line, key: entry.key, message: `already defined in line ${previousEntry.line}` })
    }
    section.entries.push(entry)
  }
  return { sections, findings }
}

function readEntry (content: string, line: number): IniEntry | undefined {
  if (content.startsWith('[') || !/^[^=]+=/.test(content)) return undefined
  const [pair] = Object.entries(parse(content))
  if (pair === undefined) return undefined
  const [key, value] = pair
  return { key, value: Array.isArray(value) ? value.join(',') : String(value), line }
}
