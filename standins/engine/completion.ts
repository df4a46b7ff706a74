/** One completion of the engine stand-in: refusal, prefill against the cache, and the stream of chunks. */
import type { Socket } from 'node:net'
import {
  ATTEMPT_HEADER, BLOCK_BYTES, BYTES_PER_TOKEN, INCARNATION_HEADER, REQUEST_IDENTIFIER_HEADER
} from '../../src/constants'
import type { CompletionChunk, EngineCompletionRequest } from '../../src/upstream/types'
import type { StandinRequest } from '../http'
import type { JournalEntry } from '../journal'
import type { EngineCore } from './core'
import { conditionHolds, promptLabel } from './faults'
import type { FaultCondition } from './faults'
import type { Sequence } from './scheduler'
import { countTokens, generateText } from './text'

const TOKENS_PER_BLOCK = BLOCK_BYTES / BYTES_PER_TOKEN

/** Last chunk of the previous answer on a connection, for the fault that replays it. */
const previousChunks = new WeakMap<Socket, string>()

interface RunningCompletion {
  cancel: () => void
}

export type RunningCompletions = Map<string, RunningCompletion>

export function completionKey (requestIdentifier: string, attempt: number | string): string {
  return `${requestIdentifier}/${attempt}`
}

/** Why a completion is refused before it runs; undefined when it is accepted. */
function refusal (
  core: EngineCore, order: EngineCompletionRequest, faulty: boolean
): { status: number, code: string } | undefined {
  const { faults, random } = core
  if (core.leaving) return { status: 503, code: 'leaving' }
  if (!core.weights.has(order.model, order.version, order.adapter)) return { status: 404, code: 'version_not_loaded' }
  if (faulty && random() < faults.refuse) return { status: 503, code: 'overloaded' }
  if (core.scheduler.waiting() >= core.maximumWaiting) return { status: 503, code: 'overloaded' }
  const text = generateText(order.model, order.version, order.prompt)
  if (order.resumeText !== text.textBefore(order.resumeFrom)) return { status: 409, code: 'resume_mismatch' }
  return undefined
}

/** Runs one completion until its stream has ended, was cancelled or failed. */
export async function runCompletion (core: EngineCore, exchange: StandinRequest): Promise<void> {
  const { faults, random, scheduler, journal } = core
  const { request, response, sendJson } = exchange
  const order = await exchange.readJson<EngineCompletionRequest>()
  const label = promptLabel(order.prompt)
  const versionName = `${order.model}@${order.version}`
  const requests = (core.requestCounts.get(versionName) ?? 0) + 1
  const applies = (condition: FaultCondition | undefined): boolean => condition !== undefined &&
    conditionHolds(condition, { requests, concurrent: scheduler.running() + scheduler.waiting(), label })
  const faulty = applies(faults.when)
  const refused = refusal(core, order, faulty)
  if (refused !== undefined) {
    return sendJson(refused.status, { code: refused.code, message: refused.code }, core.refusalHeaders())
  }
  core.requestCounts.set(versionName, requests)

  const failing = faults.failVersions[order.version]
  const fails = failing !== undefined && applies(failing) && random() < failing.fraction
  const truncated = faulty && random() < faults.truncatedStreams
  // The delay of the whole answer, so that a change in between does not put chunks out of order.
  const lateBy = faulty ? faults.lateAnswers : 0
  const text = generateText(order.model, order.version, order.prompt)
  const promptTokens = countTokens(order.prompt)
  const owner = { salt: order.cacheSalt, model: order.model, version: order.version, adapter: order.adapter }
  const entry: JournalEntry = journal.begin({
    requestIdentifier: order.requestIdentifier,
    attempt: order.attempt,
    model: order.model,
    version: order.version,
    salt: order.cacheSalt,
    label,
    resumeFrom: order.resumeFrom
  })
  let cachedTokens = 0
  let index = order.resumeFrom
  let blocked = false
  let ended = false

  function finish (outcome: NonNullable<JournalEntry['outcome']>): void {
    if (ended) return
    ended = true
    scheduler.remove(sequence)
    core.running.delete(completionKey(order.requestIdentifier, order.attempt))
    journal.finish(entry, outcome, { tokens: index - order.resumeFrom, cachedTokens })
  }

  function write (data: string): void {
    const send = (): void => {
      if (response.destroyed) return
      blocked = !response.write(data)
      if (blocked) response.once('drain', () => { blocked = false })
    }
    if (lateBy > 0) setTimeout(send, lateBy)
    else send()
  }

  function writeChunk (chunk: Omit<CompletionChunk, 'requestIdentifier' | 'attempt'>): void {
    const crossed = faulty && random() < faults.crossedAnswers
    const data = `data: ${JSON.stringify({
      requestIdentifier: crossed ? otherRequest(core, order.requestIdentifier) : order.requestIdentifier,
      attempt: order.attempt,
      ...chunk
    })}\n\n`
    if (faulty && random() < faults.lostChunks) return
    write(data)
    previousChunks.set(request.socket, data)
  }

  function end (): void {
    const close = (): void => { response.end() }
    if (lateBy > 0) setTimeout(close, lateBy)
    else close()
  }

  function fail (): void {
    finish('failed')
    const body = { code: 'engine_failure', message: `version ${order.version} failed` }
    if (response.headersSent) {
      write(`event: error\ndata: ${JSON.stringify({ requestIdentifier: order.requestIdentifier, attempt: order.attempt, ...body })}\n\n`)
      end()
    } else sendJson(500, body, { [INCARNATION_HEADER]: String(core.incarnation) })
  }

  const sequence: Sequence = {
    priority: order.priority,
    promptTokens,
    slowFactor () {
      const slow = faults.slowVersions[order.version]
      return faults.slowFactor * (slow !== undefined && applies(slow) ? slow.factor : 1)
    },
    beginPrefill () {
      if (faults.crashOnText.some((fragment) => order.prompt.includes(fragment))) {
        core.crash()
        return 0
      }
      const blocks = core.cache.match(owner, order.blockKeys)
      cachedTokens = Math.min(promptTokens, blocks * TOKENS_PER_BLOCK)
      return promptTokens - cachedTokens + order.resumeFrom
    },
    finishPrefill () {
      core.cache.store(owner, order.blockKeys)
      core.computedTokens += promptTokens - cachedTokens
      if (fails && (failing?.afterTokens ?? 0) === 0) return fail()
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        [REQUEST_IDENTIFIER_HEADER]: order.requestIdentifier,
        [ATTEMPT_HEADER]: String(order.attempt),
        [INCARNATION_HEADER]: String(core.incarnation)
      })
      const previous = previousChunks.get(request.socket)
      if (faulty && faults.replayPrevious && previous !== undefined) write(previous)
    },
    step () {
      if (ended) return 'done'
      if (blocked) return 'blocked'
      const sent = index - order.resumeFrom
      if (fails && sent >= (failing?.afterTokens ?? 0)) {
        fail()
        return 'done'
      }
      const length = Math.min(order.maximumOutputTokens, core.naturalTokens)
      if (truncated && index >= length / 2) {
        finish('truncated')
        end()
        return 'done'
      }
      if (index < length) {
        writeChunk({ index, text: text.token(index), final: false })
        index++
        return 'more'
      }
      const finishReason = length < order.maximumOutputTokens ? 'stop' : 'length'
      writeChunk({ index, text: '', final: true, finishReason, cachedTokens, promptTokens })
      finish('complete')
      end()
      return 'done'
    }
  }
  function cancel (): void {
    finish('cancelled')
    response.destroy()
  }
  core.running.set(completionKey(order.requestIdentifier, order.attempt), { cancel })
  response.on('close', () => finish('cancelled'))
  scheduler.add(sequence)
}

/** Identifier of another running request, for the fault of crossed answers. */
function otherRequest (core: EngineCore, own: string): string {
  for (const key of core.running.keys()) {
    const identifier = key.slice(0, key.lastIndexOf('/'))
    if (identifier !== own) return identifier
  }
  return `other-than-${own}`
}
