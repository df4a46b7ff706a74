/** Frames of the peer protocol: each holds one message. */
import { PeerProtocolError } from '../errors'
import { createValueReader, decodeValue, encodeValue, type FrameReader } from './framing'
import type { PeerMessage } from './messages'
import { peerMessageSchema } from './schemas'

export { FRAME_LIMIT } from './framing'

/** Encodes a message with its length. Throws `PeerProtocolError` when it exceeds the limit. */
export function encodeFrame (message: PeerMessage): Buffer {
  return encodeValue(message, `${message.kind} message`)
}

/** Decodes and checks a frame body. Throws `PeerProtocolError` for anything but a valid message. */
export function decodeBody (body: Uint8Array): PeerMessage {
  const result = peerMessageSchema.safeParse(decodeValue(body))
  if (!result.success) {
    const issue = result.error.issues[0]
    throw new PeerProtocolError(`invalid message: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`)
  }
  return result.data as PeerMessage
}

/** Creates a reader at the start of a connection. */
export function createFrameReader (): FrameReader<PeerMessage> {
  return createValueReader(decodeBody)
}
