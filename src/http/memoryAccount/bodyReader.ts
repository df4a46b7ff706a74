/**
 * Reads the bodies of requests. Chunks of any size are copied into blocks: a body in chunks of one byte, each kept as an
 * object of its own, would use a hundred times its size.
 */
import type { IncomingMessage } from 'node:http'
import { HeldKind, type HeldRequest } from './account'

const FIRST_BLOCK_BYTES = 4096
const MAX_BLOCK_BYTES = 65_536

export interface BodyBlocks {
  push: (chunk: Buffer) => void
  /** Number of bytes of memory that the blocks use. */
  capacity: () => number
  length: () => number
  /** Returns all bytes in one buffer and empties the blocks. */
  take: () => Buffer
  clear: () => void
}

export function createBodyBlocks (): BodyBlocks {
  let blocks: Buffer[] = []
  let capacity = 0
  let length = 0

  function clear (): void {
    blocks = []
    capacity = 0
    length = 0
  }

  /** Adds a block that doubles the capacity, up to the maximum size of a block. */
  function addBlock (): void {
    const block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, capacity)))
    blocks.push(block)
    capacity += block.length
  }

  return {
    push (chunk) {
      for (let position = 0; position < chunk.length;) {
        if (length === capacity) addBlock()
        const block = blocks.at(-1)!
        const start = block.length - (capacity - length)
        const copied = chunk.copy(block, start, position)
        position += copied
        length += copied
      }
    },
    capacity: () => capacity,
    length: () => length,
    take () {
      const body = Buffer.concat(blocks, length)
      clear()
      return body
    },
    clear
  }
}

export interface BodyEvents {
  onBody: (body: Buffer) => void
  /** The body exceeds its limit. The rest of it is not read until the response is sent. */
  onTooLong: () => void
  /** There is no memory for the body; the request is to be refused. The rest of it is not read until then. */
  onNoMemory: () => void
}

/**
 * Reads a whole body of at most `limit` bytes. One of the events is called once, or none if the caller disconnects. A body
 * that announces a longer length is not read at all.
 */
export function readBoundedBody (
  request: IncomingMessage, limit: number, held: HeldRequest | undefined, { onBody, onTooLong, onNoMemory }: BodyEvents
): void {
  const blocks = createBodyBlocks()
  let isEnded = false

  function giveUp (report: () => void): void {
    if (isEnded) return
    isEnded = true
    held?.endBody()
    held?.add(HeldKind.body, -blocks.capacity(), performance.now())
    blocks.clear()
    request.pause()
    report()
  }

  if (Number(request.headers['content-length'] ?? 0) > limit) {
    // Node.js would otherwise discard the body by itself, however long it is.
    request.read(0)
    giveUp(onTooLong)
    return
  }
  held?.startBody(() => { giveUp(onNoMemory) })
  request.on('data', (chunk: Buffer) => {
    if (isEnded) return
    if (blocks.length() + chunk.length > limit) return giveUp(onTooLong)
    const before = blocks.capacity()
    blocks.push(chunk)
    const added = blocks.capacity() - before
    if (added > 0) held?.add(HeldKind.body, added, performance.now())
  })
  request.on('end', () => {
    if (isEnded) return
    isEnded = true
    held?.endBody()
    const capacity = blocks.capacity()
    const body = blocks.take()
    held?.add(HeldKind.body, body.length - capacity, performance.now())
    onBody(body)
  })
}

/**
 * Reads and discards the body of a request that is refused. Calls `onEnd` once, at the end of the body or after `limit` bytes;
 * the rest is not read until the response is sent.
 */
export function skipBody (request: IncomingMessage, limit: number, onEnd: () => void): void {
  let bytes = 0
  let isEnded = false
  function end (): void {
    if (isEnded) return
    isEnded = true
    onEnd()
  }
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= limit || isEnded) return
    request.pause()
    end()
  })
  request.on('end', end)
}
