/** Memory that one connection of a caller holds: what is read from it, and whether its caller makes progress. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { MonotonicMilliseconds } from '../../types'
import { countHeaderBytes } from '../headSize'
import type { HeldRequest, MemoryAccount } from './account'
import { createReadGate, type ReadGate } from './readGate'

/**
 * Number of whole requests in progress on one connection beyond which it is not read any further. Callers that send requests
 * ahead have a few in progress.
 */
export const MAX_REQUESTS_IN_PROGRESS = 64
/** The same while little memory is left, or the process has many requests in progress. */
const MAX_REQUESTS_WHEN_TIGHT = 1
/** Number of requests that are read from one connection in one turn of the event loop, so that others are read as well. */
const MAX_REQUESTS_PER_TURN = 16
/** Bytes that the parser gets at a time; they are at most 200 requests. */
const SLICE_BYTES = 4096
/** The same while little memory is left and a body is being read. */
const TIGHT_BODY_SLICE_BYTES = 512
/** The same while little memory is left: few requests fit in them. */
const TIGHT_SLICE_BYTES = 64
/** Bytes that the objects of one request in progress use besides its head, rounded up from the 6 to 7 KB of a trial. */
const REQUEST_OBJECT_BYTES = 8192

/** Bytes that the objects of one header field use, in the request and in the one to the upstream. */
const FIELD_OBJECT_BYTES = 160

/** What is held for each request of a caller. */
const heldRequests = new WeakMap<IncomingMessage, HeldRequest>()

/** Returns the account of a request; undefined if its server keeps none. */
export function heldFor (request: IncomingMessage): HeldRequest | undefined {
  return heldRequests.get(request)
}

export interface ConnectionMemory {
  gate: ReadGate
  /** Records a request whose head has been read, until its response has been sent or its connection has ended. */
  open: (request: IncomingMessage, response: ServerResponse, now: MonotonicMilliseconds) => void
  /** Records whether the caller has made progress since the last call. */
  sample: (now: MonotonicMilliseconds) => void
  close: () => void
}

export interface ConnectionMemoryOptions {
  account: MemoryAccount | undefined
  /** Responses in progress, in the order of their requests. */
  responses: ReadonlySet<ServerResponse>
  /** Returns the response to the request whose body is being read. */
  receiving: () => ServerResponse | undefined
  /** Called before the connection is closed, or its incomplete request refused, because it holds much without progress. */
  onShed: (bytes: number) => void
  /** Gives up what the caller has sent beyond the requests in progress, and closes the connection after their responses. */
  refuseInput: () => void
  now: MonotonicMilliseconds
}

/** Bytes that wait to be sent, of which the operating system has taken none. */
function unsentBytes (socket: Socket): number {
  // One write of a long answer may be taken in parts; only the handle of Node.js tells.
  const { _handle: handle } = socket as Socket & { _handle?: { writeQueueSize?: number } | null }
  return handle?.writeQueueSize ?? socket.writableLength
}

/** Reports the bytes of the body as the parser reads them, which the stream itself does only to whoever consumes them. */
function countBody (request: IncomingMessage, onBytes: (bytes: number) => void): void {
  const push = request.push.bind(request)
  request.push = (chunk: Buffer | null, encoding) => {
    if (chunk !== null) onBytes(chunk.length)
    return push(chunk, encoding)
  }
}

function objectBytesOf (request: IncomingMessage): number {
  const fields = request.rawHeaders.length / 2
  return countHeaderBytes(request) + REQUEST_OBJECT_BYTES + fields * FIELD_OBJECT_BYTES
}

/** To be called in the `connection` event of the server. */
export function trackConnectionMemory (socket: Socket, options: ConnectionMemoryOptions): ConnectionMemory {
  const { account, responses, receiving, onShed } = options
  const held = account?.openConnection({ close: shed, refuseInput }, options.now)
  const isTight = (): boolean => account?.isTight() ?? false
  const gate = createReadGate(socket, { mayRead, sliceBytes, onPassed, onWaiting: recordInput })
  /** Bytes that the parser has got since the last request or part of a body. */
  let headBytes = 0
  let openedBefore = 0
  /** Bytes of bodies that the parser has read, and how many there were before the last slice. */
  let bodyBytes = 0
  let bodyBytesBefore = 0
  let queueBefore = 0
  let bytesReadBefore = 0
  let openedThisTurn = 0
  let opened = 0
  let finished = 0
  let finishedBefore = 0
  /** Request whose body is still being read after its response. */
  let answeredEarly: HeldRequest | undefined

  function isReceiving (): boolean {
    return receiving()?.req.complete === false
  }

  function mayRead (): boolean {
    if (openedThisTurn >= MAX_REQUESTS_PER_TURN) return false
    // The rest of a body must arrive, or its request would stay in progress.
    const whole = responses.size - Number(isReceiving())
    return whole < (isTight() ? MAX_REQUESTS_WHEN_TIGHT : MAX_REQUESTS_IN_PROGRESS)
  }

  function countTurn (): void {
    openedThisTurn += 1
    if (openedThisTurn > 1) return
    setImmediate(() => {
      const mayHaveStopped = openedThisTurn >= MAX_REQUESTS_PER_TURN
      openedThisTurn = 0
      if (mayHaveStopped) gate.update()
    })
  }

  function sliceBytes (): number {
    if (!isTight()) return SLICE_BYTES
    return isReceiving() ? TIGHT_BODY_SLICE_BYTES : TIGHT_SLICE_BYTES
  }

  /** Heads and trailers are kept by the parser until they are whole. */
  function onPassed (bytes: number): void {
    const hasProgressed = opened !== openedBefore || bodyBytes !== bodyBytesBefore
    // Where the last request or chunk ends within these bytes is not known; they are few.
    headBytes = hasProgressed ? 0 : headBytes + bytes
    openedBefore = opened
    bodyBytesBefore = bodyBytes
  }

  function recordInput (): void {
    const waiting = gate.waitingBytes()
    held?.setInput(headBytes + waiting, isReceiving() ? headBytes : headBytes + waiting, performance.now())
  }

  function refuseInput (): void {
    onShed(held?.bytes() ?? 0)
    options.refuseInput()
  }

  function shed (): void {
    onShed(held?.bytes() ?? 0)
    const response = receiving()
    const hasOthers = responses.size > 1
    if (response !== undefined && !hasOthers && heldFor(response.req)?.refuse() === true) return
    socket.destroy()
  }

  /** Whether the caller has sent or taken bytes since the last call, or is not waited for. */
  function hasProgress (): boolean {
    const queue = unsentBytes(socket)
    const { bytesRead } = socket
    const hasSent = queue < queueBefore || finished !== finishedBefore
    const hasRead = bytesRead !== bytesReadBefore
    queueBefore = queue
    bytesReadBefore = bytesRead
    finishedBefore = finished
    if (queue > 0) return hasSent
    return hasSent || hasRead || !isReceiving() || gate.hasWaiting()
  }

  /** The parser refers to a request that was answered early until its body has been read, or the connection has ended. */
  function closeAfterBody (request: IncomingMessage, heldRequest: HeldRequest): void {
    answeredEarly = heldRequest
    request.once('end', () => { heldRequest.close() })
  }

  return {
    gate,
    open (request, response, now) {
      countTurn()
      opened += 1
      countBody(request, (bytes) => { bodyBytes += bytes })
      const heldRequest = held?.openRequest(now)
      if (heldRequest !== undefined) {
        heldRequests.set(request, heldRequest)
        heldRequest.addObjects(objectBytesOf(request), now)
      }
      const end = (): void => {
        finished += 1
        if (request.complete || socket.destroyed || heldRequest === undefined) heldRequest?.close()
        else closeAfterBody(request, heldRequest)
        gate.update()
      }
      response.once('finish', end)
      response.once('close', end)
    },
    sample (now) {
      if (hasProgress()) held?.recordProgress(now)
      gate.update()
    },
    close () {
      answeredEarly?.close()
      held?.close()
    }
  }
}
