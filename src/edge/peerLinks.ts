/** Questions between instances: one connection to each peer that is asked, answers by number, a time limit for each. */
import { connect, createServer, type Socket } from 'node:net'
import { OverloadedError, PeerProtocolError, PlatformUnavailableError } from '../errors'
import { formatEndpoint } from '../http/endpoint'
import { createValueReader, decodeValue, encodeValue } from '../peer/framing'
import type { Endpoint } from '../types'
import { EdgeEvent, reasonOf, type EdgeLog } from './events'

/** Milliseconds for which a peer is not asked again after it failed; doubles up to the longest pause. */
const FIRST_PAUSE_MS = 500
const LONGEST_PAUSE_MS = 8000
/** Milliseconds without any answer after which a connection counts as dead. */
const SILENT_MS = 500
/** Connections accepted at the same time; a data centre has far fewer instances. */
const MOST_INCOMING = 512
/** Milliseconds without a question after which an accepted connection is closed; its peer may be gone without a word. */
const IDLE_LIMIT_MS = 60_000
/** Bytes that may wait to be sent on one connection. */
const SEND_LIMIT_BYTES = 2_097_152

export const PeerQuestion = {
  /** What changed in a table of the store. */
  changes: 'changes',
  /** Tokens of a customer's rate. */
  tokens: 'tokens',
  /** News of how far a move to new weights is. */
  weightsProgress: 'weightsProgress',
  /** News of an upstream that cannot be reached. */
  failures: 'failures',
  /** News of an upstream that leaves, by its own word. */
  leaving: 'leaving',
  /** What instances have sent to engines. */
  engineLoads: 'engineLoads',
  /** News of a move of a service to a new version. */
  moves: 'moves',
  /** What an instance counted of both versions of a service that moves. */
  moveCounts: 'moveCounts'
} as const
export type PeerQuestion = typeof PeerQuestion[keyof typeof PeerQuestion]

export type PeerValue = Readonly<Record<string, unknown>>

/** Answers a question of a peer. Rejects with a reason that the peer is told. */
export type AnswerQuestion = (question: PeerValue) => Promise<PeerValue>

export interface PeerLinksOptions {
  listen: Endpoint
  answer: AnswerQuestion
  log: EdgeLog
  /** Called with the milliseconds until an answer. */
  onAnswered: (question: PeerValue, milliseconds: number) => void
  /** Milliseconds of the steady clock. */
  now: () => number
  /** Milliseconds without a question after which an accepted connection is closed. @default 60000 */
  idleLimit?: number
}

export interface PeerLinks {
  /** Rejects with `PlatformUnavailableError` when no answer came within `timeout` milliseconds or the peer refused. */
  ask: (peer: Endpoint, question: PeerValue, timeout: number) => Promise<PeerValue>
  /** Sends a word that needs no answer and may be lost. */
  tell: (peer: Endpoint, word: PeerValue) => void
  /** False while the peer is left alone because it failed. */
  isUsable: (peer: Endpoint) => boolean
  close: () => void
}

/** Undefined when the peer gives no answer; the links log the loss of a peer. Rejects with faults of the program. */
export async function askIfReachable (
  links: Pick<PeerLinks, 'ask'>, peer: Endpoint, question: PeerValue, timeout: number
): Promise<PeerValue | undefined> {
  try {
    return await links.ask(peer, question, timeout)
  } catch (error) {
    if (error instanceof PlatformUnavailableError) return undefined
    throw error
  }
}

/** Number of words that need no answer. */
const UNANSWERED = 0

/** A question has a number and a content; an answer repeats the number and has a content or a refusal. */
interface Envelope {
  number: number
  content: PeerValue | undefined
  refusal: string | undefined
}

interface Pending {
  question: PeerValue
  askedAt: number
  resolve: (answer: PeerValue) => void
  reject: (error: Error) => void
  timer: NodeJS.Timeout
}

interface Link {
  socket: Socket
  pending: Map<number, Pending>
  isOpen: boolean
  /** When a question was sent that nothing has answered since; undefined after any answer. */
  unansweredSince: number | undefined
}

function isValue (value: unknown): value is PeerValue {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function decodeEnvelope (body: Uint8Array): Envelope {
  const value = decodeValue(body)
  if (!isValue(value) || typeof value.number !== 'number') throw new PeerProtocolError('a frame has no number')
  const { number, content, refusal } = value
  if (isValue(content)) return { number, content, refusal: undefined }
  if (typeof refusal === 'string') return { number, content: undefined, refusal }
  throw new PeerProtocolError('a frame has neither content nor refusal')
}

/** Hands each message to `take`; a frame that cannot be read ends the connection. */
function readEnvelopes (socket: Socket, take: (envelope: Envelope) => void): void {
  const reader = createValueReader(decodeEnvelope)
  socket.setNoDelay(true)
  socket.on('data', (bytes: Buffer) => {
    try {
      for (const envelope of reader.push(bytes)) take(envelope)
    } catch (error) {
      socket.destroy(error instanceof Error ? error : undefined)
    }
  })
}

/** Rejects when the address is taken. */
export async function createPeerLinks (options: PeerLinksOptions): Promise<PeerLinks> {
  const { listen, answer, log, now, idleLimit = IDLE_LIMIT_MS } = options
  const links = new Map<string, Link>()
  const incoming = new Set<Socket>()
  const pauses = new Map<string, { until: number, length: number }>()
  let questions = 0

  function send (socket: Socket, message: Envelope): void {
    if (socket.writableLength > SEND_LIMIT_BYTES) {
      socket.destroy(new OverloadedError('the peer reads too slowly'))
      return
    }
    socket.write(encodeValue(message, 'peer message'))
  }

  function noteFailure (address: string, reason: string): void {
    const before = pauses.get(address)
    if (before !== undefined && before.until > now()) return
    const length = Math.min(LONGEST_PAUSE_MS, before === undefined ? FIRST_PAUSE_MS : before.length * 2)
    pauses.set(address, { until: now() + length, length })
    if (before === undefined) log(EdgeEvent.peerLost, { peer: address, reason })
  }

  function noteAnswer (address: string): void {
    if (pauses.delete(address)) log(EdgeEvent.peerRegained, { peer: address })
  }

  function drop (address: string, link: Link, reason: string): void {
    if (links.get(address) === link) links.delete(address)
    link.socket.destroy()
    for (const { reject, timer } of link.pending.values()) {
      clearTimeout(timer)
      reject(new PlatformUnavailableError(`peer ${address}: ${reason}`))
    }
    link.pending.clear()
  }

  function open (address: string, peer: Endpoint): Link {
    const link: Link = {
      socket: connect(peer.port, peer.host), pending: new Map(), isOpen: false, unansweredSince: undefined
    }
    links.set(address, link)
    readEnvelopes(link.socket, ({ number, content, refusal }) => {
      link.unansweredSince = undefined
      const pending = link.pending.get(number)
      // The answer to a question that was given up.
      if (pending === undefined) return
      link.pending.delete(number)
      clearTimeout(pending.timer)
      noteAnswer(address)
      options.onAnswered(pending.question, now() - pending.askedAt)
      if (content !== undefined) pending.resolve(content)
      else pending.reject(new PlatformUnavailableError(`peer ${address} refused: ${refusal}`))
    })
    const onEnd = (reason: string): void => {
      if (link.pending.size > 0 || !link.isOpen) noteFailure(address, reason)
      drop(address, link, reason)
    }
    link.socket.on('connect', () => { link.isOpen = true })
    link.socket.on('error', (error) => { onEnd(error.message) })
    link.socket.on('close', () => { onEnd('the connection was closed') })
    return link
  }

  const server = createServer((socket) => {
    if (incoming.size >= MOST_INCOMING) {
      socket.destroy()
      return
    }
    incoming.add(socket)
    socket.setTimeout(idleLimit, () => { socket.destroy() })
    // The peer notices the end of a connection by itself and asks again.
    socket.on('error', (error) => { log(EdgeEvent.peerConnectionEnded, { reason: error.message }) })
    socket.on('close', () => { incoming.delete(socket) })
    readEnvelopes(socket, ({ number, content }) => {
      if (content === undefined) throw new PeerProtocolError('a question has no content')
      if (number === UNANSWERED) {
        answer(content).catch((error: unknown) => { log(EdgeEvent.peerWordRefused, { reason: reasonOf(error) }) })
        return
      }
      const respond = (message: Omit<Envelope, 'number'>): void => {
        if (!socket.destroyed) send(socket, { number, ...message })
      }
      answer(content).then(
        (given) => { respond({ content: given, refusal: undefined }) },
        (error: unknown) => { respond({ content: undefined, refusal: reasonOf(error) }) }
      )
    })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, resolve)
  })

  return {
    async ask (peer, question, timeout) {
      const address = formatEndpoint(peer)
      const link = links.get(address) ?? open(address, peer)
      questions += 1
      const number = questions
      return await new Promise((resolve, reject) => {
        const timer = setTimeout(() => {
          link.pending.delete(number)
          noteFailure(address, `no answer in ${timeout} ms`)
          reject(new PlatformUnavailableError(`peer ${address}: no answer in ${timeout} ms`))
          const isSilent = link.unansweredSince !== undefined && now() - link.unansweredSince >= SILENT_MS
          if (isSilent) drop(address, link, 'the connection is silent')
        }, timeout)
        link.pending.set(number, { question, askedAt: now(), resolve, reject, timer })
        link.unansweredSince ??= now()
        send(link.socket, { number, content: question, refusal: undefined })
      })
    },
    tell (peer, word) {
      const address = formatEndpoint(peer)
      const link = links.get(address) ?? open(address, peer)
      send(link.socket, { number: UNANSWERED, content: word, refusal: undefined })
    },
    isUsable: (peer) => (pauses.get(formatEndpoint(peer))?.until ?? -Infinity) <= now(),
    close () {
      server.close()
      for (const socket of incoming) socket.destroy()
      for (const [address, link] of links) drop(address, link, 'this instance stops')
    }
  }
}
