/**
 * Explains what became of one request of an edge daemon: its own log lines, the lines that tell what happened to its
 * upstreams and its instance at that time, and a conclusion in words.
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { EdgeEvent } from '../edge/events'

/** Milliseconds before and after the request in which other lines belong to its surroundings. */
const BEFORE_MS = 3000
const AFTER_MS = 1000

/** Lines of the surroundings that are printed; the conclusion counts all. */
const PRINTED_LINES = 30

/** Code of the refusals of customers beyond their rates. */
const RATE_LIMITED = 'rate_limited'

/** Events that concern a whole instance. */
const INSTANCE_EVENTS = new Set<string>([
  EdgeEvent.started, EdgeEvent.stopping, EdgeEvent.stopped, EdgeEvent.fault, EdgeEvent.configurationAccepted,
  EdgeEvent.configurationIgnored, EdgeEvent.instancesChanged, EdgeEvent.storeLost, EdgeEvent.storeRegained,
  EdgeEvent.peerLost, EdgeEvent.peerRegained, EdgeEvent.relayRejected, EdgeEvent.targetWeightsChanged
])

/** One log line of an edge daemon. */
export interface EdgeLine {
  /** Wall clock in milliseconds. */
  time: number
  instance: string
  event: string
  fields: Readonly<Record<string, unknown>>
}

export interface Explanation {
  /** Lines of the request, in order of time. */
  own: readonly EdgeLine[]
  /** Lines of other requests and of the surroundings that bear on it, in order of time. */
  surroundings: readonly EdgeLine[]
  conclusion: readonly string[]
}

/** Reads one line, also one with a prefix before its JSON; undefined when it is none. */
export function parseEdgeLine (text: string): EdgeLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  let value: unknown
  try {
    value = JSON.parse(text.slice(start))
  } catch {
    // Cut by the end of a process, or no log line.
    return undefined
  }
  if (typeof value !== 'object' || value === null) return undefined
  const { level: _level, time, instance, event, ...fields } = value as Record<string, unknown>
  if (typeof time !== 'number' || typeof instance !== 'string' || typeof event !== 'string') return undefined
  return { time, instance, event, fields }
}

const byTime = (one: EdgeLine, other: EdgeLine): number => one.time - other.time

/** Collects over two passes, since only the request's own lines tell which others matter. */
export interface ExplanationCollector {
  first: (line: EdgeLine) => void
  second: (line: EdgeLine) => void
  explain: () => Explanation
}

export function createExplanationCollector (identifier: string): ExplanationCollector {
  const own: EdgeLine[] = []
  const surroundings: EdgeLine[] = []
  const field = (name: string): unknown => own.map(({ fields }) => fields[name]).find((value) => value !== undefined)

  function bears (line: EdgeLine): boolean {
    const { time, instance, event, fields } = line
    const times = own.map((one) => one.time)
    if (time < Math.min(...times) - BEFORE_MS || time > Math.max(...times) + AFTER_MS) return false
    const isOwnInstance = own.some((one) => one.instance === instance)
    if (INSTANCE_EVENTS.has(event)) return isOwnInstance
    if (event === EdgeEvent.requestRejected) {
      return fields.errorCode === RATE_LIMITED && field('errorCode') === RATE_LIMITED && fields.customer === field('customer')
    }
    if (event === EdgeEvent.requestRouted || event === EdgeEvent.requestFinished) return false
    return fields.upstream !== undefined && own.some((one) => one.fields.upstream === fields.upstream)
  }

  return {
    first (line) { if (line.fields.requestIdentifier === identifier) own.push(line) },
    second (line) {
      const isOther = own.length > 0 && line.fields.requestIdentifier !== identifier
      if (isOther && bears(line)) surroundings.push(line)
    },
    explain () {
      own.sort(byTime)
      surroundings.sort(byTime)
      return { own, surroundings, conclusion: conclude(identifier, own, surroundings) }
    }
  }
}

interface Situation {
  last: EdgeLine
  own: readonly EdgeLine[]
  surroundings: readonly EdgeLine[]
}

const attemptsOf = (own: readonly EdgeLine[]): string => {
  const routed = own.filter(({ event }) => event === EdgeEvent.requestRouted)
  const upstreams = routed.map(({ fields }) => String(fields.upstream))
  return upstreams.length === 0 ? 'It was sent to no upstream.' : `It was sent to ${upstreams.join(', then ')}.`
}

/** What happened to the upstreams of the request besides the request itself. */
function upstreamFindings ({ surroundings }: Situation): string[] {
  const failed = surroundings.filter(({ event }) => event === EdgeEvent.attemptFailed)
  const counts = new Map<string, number>()
  for (const { fields } of failed) counts.set(String(fields.upstream), (counts.get(String(fields.upstream)) ?? 0) + 1)
  const changes = surroundings.filter(({ event, fields }) => event.startsWith('upstream.') && fields.upstream !== undefined)
  return [
    ...[...counts].map(([upstream, count]) => `${count} other attempts at ${upstream} failed at that time.`),
    ...new Set(changes.map(({ event, fields }) => `${String(fields.upstream)}: ${event}.`))
  ]
}

function rateFindings ({ last, surroundings }: Situation): string[] {
  const refused = surroundings.filter(({ event }) => event === EdgeEvent.requestRejected)
  const instances = new Set([last, ...refused].map(({ instance }) => instance))
  return [
    `The rate of customer ${String(last.fields.customer)} was used up at the instances that were asked.`,
    `${refused.length} other requests of this customer were refused at ${instances.size} instances at that time.`
  ]
}

function ageFindings ({ last, surroundings }: Situation): string[] {
  const lost = surroundings.filter(({ event }) => event === EdgeEvent.storeLost || event === EdgeEvent.relayRejected)
  return [
    `The configuration had last been proved ${String(last.fields.configurationAge)} ms before.`,
    ...new Set(lost.map(({ event, fields }) => `${event}: ${String(fields.reason)}.`))
  ]
}

/** Further findings of a refusal by its status. */
const REFUSAL_FINDINGS: Readonly<Record<string, (situation: Situation) => string[]>> = {
  401: ageFindings, 404: ageFindings, 429: rateFindings, 502: upstreamFindings, 503: ageFindings, 504: upstreamFindings
}

const CONCLUSIONS: Readonly<Record<string, (situation: Situation) => string[]>> = {
  [EdgeEvent.requestFinished] ({ last: { fields } }) {
    const { upstream, status, firstByte, duration } = fields
    const first = firstByte === undefined ? '' : `first byte after ${String(firstByte)} ms, `
    return [`${String(upstream)} answered ${String(status)}: ${first}end after ${String(duration)} ms.`]
  },
  [EdgeEvent.requestRejected] (situation) {
    const { status, reason, runs } = situation.last.fields
    const execution = Number(runs ?? 0) > 0 ? 'It may have run; the outcome is not known.' : 'It has not run.'
    return [
      `The router answered ${String(status)}: ${String(reason)}. ${execution}`,
      ...(REFUSAL_FINDINGS[String(status)]?.(situation) ?? [])
    ]
  },
  [EdgeEvent.responseAborted]: (situation) => [
    `Part of an answer went out, then it broke off: ${String(situation.last.fields.reason)}. Last whole event: ${String(situation.last.fields.lastEvent ?? 'none')}.`,
    ...upstreamFindings(situation)
  ],
  [EdgeEvent.requestCancelled]: () => ['The caller left before the answer was complete.']
}

function conclude (identifier: string, own: readonly EdgeLine[], surroundings: readonly EdgeLine[]): string[] {
  const last = own.findLast(({ event }) => event in CONCLUSIONS)
  if (own.length === 0) {
    return [`No line names request ${identifier}: the files are not those of its instance and time, or its lines were left out.`]
  }
  const begin = [`Instance ${own[0]!.instance}. ${attemptsOf(own)}`]
  if (last === undefined) return [...begin, 'No line tells how it ended: the process ended, or lines were left out.']
  return [...begin, ...CONCLUSIONS[last.event]!({ last, own, surroundings })]
}

/** Reads log files of all instances, in any order. */
export async function explainRequest (identifier: string, files: readonly string[]): Promise<Explanation> {
  const collector = createExplanationCollector(identifier)
  for (const pass of [collector.first, collector.second]) {
    for (const file of files) {
      for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
        const line = parseEdgeLine(text)
        if (line !== undefined) pass(line)
      }
    }
  }
  return collector.explain()
}

export function renderExplanation ({ own, surroundings, conclusion }: Explanation): string {
  const start = own[0]?.time ?? 0
  const render = ({ time, instance, event, fields }: EdgeLine): string => {
    const values = Object.entries(fields).filter(([name]) => name !== 'incarnation' && name !== 'requestIdentifier')
    const text = values.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
    return `${String(time - start).padStart(7)} ms  ${instance}  ${event}  ${text}`
  }
  const part = (title: string, lines: readonly EdgeLine[]): string[] => lines.length === 0 ? [] : [title, ...lines.map(render), '']
  const printed = surroundings.slice(0, PRINTED_LINES)
  const title = `At that time (${printed.length} of ${surroundings.length} lines):`
  return [...part('The request:', own), ...part(title, printed), ...conclusion, ''].join('\n')
}
