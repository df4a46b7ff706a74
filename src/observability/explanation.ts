/**
 * Explains the outcome of one request to an edge daemon: its own log lines, the lines about events that affected its
 * upstreams and its instance around that time, and a conclusion in plain sentences.
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { EdgeEvent } from '../edge/events'

/** Time window before and after the request, in milliseconds, in which other log lines count as its surroundings. */
const CONTEXT_BEFORE_MS = 3000
const CONTEXT_AFTER_MS = 1000

/** Maximum number of surrounding lines that are printed. The conclusion takes all of them into account. */
const MAX_PRINTED_CONTEXT_LINES = 30

/** Error code of requests that are rejected because the customer exceeded its rate. */
const RATE_LIMITED_CODE = 'rate_limited'

/** Events that affect an entire instance. */
const INSTANCE_EVENTS = new Set<string>([
  EdgeEvent.started, EdgeEvent.stopping, EdgeEvent.stopped, EdgeEvent.fault, EdgeEvent.configurationAccepted,
  EdgeEvent.configurationIgnored, EdgeEvent.instancesChanged, EdgeEvent.storeLost, EdgeEvent.storeRegained,
  EdgeEvent.peerLost, EdgeEvent.peerRegained, EdgeEvent.relayRejected, EdgeEvent.targetWeightsChanged
])

/** One log line of an edge daemon. */
export interface EdgeLine {
  /** Wall-clock time in milliseconds. */
  time: number
  instance: string
  event: string
  fields: Readonly<Record<string, unknown>>
}

export interface Explanation {
  /** Log lines of the request, sorted by time. */
  own: readonly EdgeLine[]
  /** Relevant log lines of other requests, upstreams and the instance, sorted by time. */
  surroundings: readonly EdgeLine[]
  conclusion: readonly string[]
}

/** Parses one log line, ignoring any prefix before its JSON. Returns undefined if it is not a log line. */
export function parseEdgeLine (text: string): EdgeLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  let value: unknown
  try {
    value = JSON.parse(text.slice(start))
  } catch {
    // The line was truncated when its process ended, or it is not a log line.
    return undefined
  }
  if (typeof value !== 'object' || value === null) return undefined
  const { level: _level, time, instance, event, ...fields } = value as Record<string, unknown>
  if (typeof time !== 'number' || typeof instance !== 'string' || typeof event !== 'string') return undefined
  return { time, instance, event, fields }
}

const compareByTime = (one: EdgeLine, other: EdgeLine): number => one.time - other.time

/** Collects log lines in two passes, because the request's own lines determine which other lines are relevant. */
export interface ExplanationCollector {
  collectOwn: (line: EdgeLine) => void
  collectSurroundings: (line: EdgeLine) => void
  explain: () => Explanation
}

export function createExplanationCollector (identifier: string): ExplanationCollector {
  const own: EdgeLine[] = []
  const surroundings: EdgeLine[] = []
  const findOwnField = (name: string): unknown =>
    own.map(({ fields }) => fields[name]).find((value) => value !== undefined)

  function isRelevantLine (line: EdgeLine): boolean {
    const { time, instance, event, fields } = line
    const times = own.map((one) => one.time)
    if (time < Math.min(...times) - CONTEXT_BEFORE_MS || time > Math.max(...times) + CONTEXT_AFTER_MS) return false
    const isOwnInstance = own.some((one) => one.instance === instance)
    if (INSTANCE_EVENTS.has(event)) return isOwnInstance
    if (event === EdgeEvent.requestRejected) {
      return fields.errorCode === RATE_LIMITED_CODE && findOwnField('errorCode') === RATE_LIMITED_CODE && fields.customer === findOwnField('customer')
    }
    if (event === EdgeEvent.requestRouted || event === EdgeEvent.requestFinished) return false
    return fields.upstream !== undefined && own.some((one) => one.fields.upstream === fields.upstream)
  }

  return {
    collectOwn (line) { if (line.fields.requestIdentifier === identifier) own.push(line) },
    collectSurroundings (line) {
      const isOther = own.length > 0 && line.fields.requestIdentifier !== identifier
      if (isOther && isRelevantLine(line)) surroundings.push(line)
    },
    explain () {
      own.sort(compareByTime)
      surroundings.sort(compareByTime)
      return { own, surroundings, conclusion: conclude(identifier, own, surroundings) }
    }
  }
}

interface ConclusionContext {
  last: EdgeLine
  own: readonly EdgeLine[]
  surroundings: readonly EdgeLine[]
}

const describeAttempts = (own: readonly EdgeLine[]): string => {
  const routed = own.filter(({ event }) => event === EdgeEvent.requestRouted)
  const upstreams = routed.map(({ fields }) => String(fields.upstream))
  return upstreams.length === 0 ? 'It was sent to no upstream.' : `It was sent to ${upstreams.join(', then ')}.`
}

/** Reports other failures and state changes of the request's upstreams. */
function upstreamFindings ({ surroundings }: ConclusionContext): string[] {
  const failed = surroundings.filter(({ event }) => event === EdgeEvent.attemptFailed)
  const counts = new Map<string, number>()
  for (const { fields } of failed) counts.set(String(fields.upstream), (counts.get(String(fields.upstream)) ?? 0) + 1)
  const changes = surroundings.filter(({ event, fields }) => event.startsWith('upstream.') && fields.upstream !== undefined)
  return [
    ...[...counts].map(([upstream, count]) => `${count} other attempts at ${upstream} failed at that time.`),
    ...new Set(changes.map(({ event, fields }) => `${String(fields.upstream)}: ${event}.`))
  ]
}

function rateLimitFindings ({ last, surroundings }: ConclusionContext): string[] {
  const refused = surroundings.filter(({ event }) => event === EdgeEvent.requestRejected)
  const instances = new Set([last, ...refused].map(({ instance }) => instance))
  return [
    `The rate of customer ${String(last.fields.customer)} was used up at the instances that were asked.`,
    `${refused.length} other requests of this customer were refused at ${instances.size} instances at that time.`
  ]
}

function configurationAgeFindings ({ last, surroundings }: ConclusionContext): string[] {
  const lost = surroundings.filter(({ event }) => event === EdgeEvent.storeLost || event === EdgeEvent.relayRejected)
  return [
    `The configuration had last been proved ${String(last.fields.configurationAge)} ms before.`,
    ...new Set(lost.map(({ event, fields }) => `${event}: ${String(fields.reason)}.`))
  ]
}

/** Additional findings for a rejected request, by HTTP status. */
const REJECTION_FINDINGS: Readonly<Record<string, (situation: ConclusionContext) => string[]>> = {
  401: configurationAgeFindings,
  404: configurationAgeFindings,
  429: rateLimitFindings,
  502: upstreamFindings,
  503: configurationAgeFindings,
  504: upstreamFindings
}

const CONCLUSIONS: Readonly<Record<string, (situation: ConclusionContext) => string[]>> = {
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
      ...(REJECTION_FINDINGS[String(status)]?.(situation) ?? [])
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
  const opening = [`Instance ${own[0]!.instance}. ${describeAttempts(own)}`]
  if (last === undefined) return [...opening, 'No line tells how it ended: the process ended, or lines were left out.']
  return [...opening, ...CONCLUSIONS[last.event]!({ last, own, surroundings })]
}

/** Explains a request from the log files of all instances, given in any order. */
export async function explainRequest (identifier: string, files: readonly string[]): Promise<Explanation> {
  const collector = createExplanationCollector(identifier)
  for (const pass of [collector.collectOwn, collector.collectSurroundings]) {
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
  const section = (title: string, lines: readonly EdgeLine[]): string[] => lines.length === 0 ? [] : [title, ...lines.map(render), '']
  const printed = surroundings.slice(0, MAX_PRINTED_CONTEXT_LINES)
  const title = `At that time (${printed.length} of ${surroundings.length} lines):`
  return [...section('The request:', own), ...section(title, printed), ...conclusion, ''].join('\n')
}
