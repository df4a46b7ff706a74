/** Encodes and decodes the frames of the peer protocol. Each frame contains one message. */
import { PeerProtocolError } from '../errors'
import { createValueReader, decodeValue, encodeValue, type FrameReader } from './framing'
import type { PeerMessage } from './messages'
import { peerMessageSchema } from './schemas'

export { FRAME_LIMIT } from './framing'

/**
 * Encodes a message as a length-prefixed frame.
 * @throws PeerProtocolError when the message exceeds `FRAME_LIMIT`
 */
export function encodeFrame (message: PeerMessage): Buffer {
  return encodeValue(message, `${message.kind} message`)
}

/**
 * Decodes and validates a frame body.
 * @throws PeerProtocolError when the body is not a valid message
 */
export function decodeBody (body: Uint8Array): PeerMessage {
  const result = peerMessageSchema.safeParse(decodeValue(body))
  if (!result.success) {
    const issue = result.error.issues[0]
    throw new PeerProtocolError(`invalid message: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`)
  }
  return result.data as PeerMessage
}

/** Creates the frame reader of a new connection. */
export function createFrameReader (): FrameReader<PeerMessage> {
  return createValueReader(decodeBody)
}
