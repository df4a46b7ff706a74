/** Framing on a TCP connection: a length of 4 bytes (big endian), followed by one CBOR value. */
import { Encoder } from 'cbor-x'
import { PeerProtocolError } from '../errors'

/** Maximum size of a frame body in bytes. */
export const FRAME_LIMIT = 1_048_576

const LENGTH_BYTES = 4

// Records are disabled because they would make frames depend on earlier frames; each frame must be checkable by itself.
const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Encodes a value as a length-prefixed frame.
 * @param label names the value in the error message
 * @throws PeerProtocolError when the value exceeds `FRAME_LIMIT`
 */
export function encodeValue (value: unknown, label: string): Buffer {
  const body = codec.encode(value)
  if (body.length > FRAME_LIMIT) throw new PeerProtocolError(`${label} of ${body.length} bytes exceeds ${FRAME_LIMIT}`)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, LENGTH_BYTES)
  return frame
}

/**
 * Decodes a frame body.
 * @throws PeerProtocolError when the body is not exactly one CBOR value
 */
export function decodeValue (body: Uint8Array): unknown {
  try {
    return codec.decode(body)
  } catch (cause) {
    throw new PeerProtocolError('frame does not contain exactly one CBOR value', { cause })
  }
}

/** Returns a Buffer over the same memory, without copying. */
function asBuffer (bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}

export interface FrameReader<Message> {
  /**
   * Appends received bytes and returns the messages that are now complete.
   * @throws PeerProtocolError at the first invalid frame
   */
  push: (bytes: Uint8Array) => Message[]
  /** Returns the number of bytes buffered for an incomplete frame. */
  pendingBytes: () => number
}

/**
 * Creates the frame reader of a new connection. It buffers at most one frame and one chunk of input.
 * @param decode decodes and validates a frame body
 */
export function createValueReader<Message> (decode: (body: Uint8Array) => Message): FrameReader<Message> {
  let chunks: Uint8Array[] = []
  let bufferedBytes = 0

  function joinChunks (): Buffer {
    const joined = chunks.length === 1 ? asBuffer(chunks[0] as Uint8Array) : Buffer.concat(chunks)
    chunks = [joined]
    return joined
  }

  /** Returns the body length of the first buffered frame, or undefined while the length prefix is incomplete. */
  function frameLength (): number | undefined {
    if (bufferedBytes < LENGTH_BYTES) return undefined
    if ((chunks[0]?.length ?? 0) < LENGTH_BYTES) joinChunks()
    return asBuffer(chunks[0] as Uint8Array).readUInt32BE(0)
  }

  return {
    push (bytes) {
      if (bytes.length > 0) chunks.push(bytes)
      bufferedBytes += bytes.length
      const messages: Message[] = []
      for (let length = frameLength(); length !== undefined; length = frameLength()) {
        if (length > FRAME_LIMIT) throw new PeerProtocolError(`frame of ${length} bytes exceeds ${FRAME_LIMIT}`)
        const frameEnd = LENGTH_BYTES + length
        if (bufferedBytes < frameEnd) break
        const joined = joinChunks()
        messages.push(decode(joined.subarray(LENGTH_BYTES, frameEnd)))
        bufferedBytes -= frameEnd
        chunks = bufferedBytes === 0 ? [] : [joined.subarray(frameEnd)]
      }
      return messages
    },
    pendingBytes: () => bufferedBytes
  }
}
