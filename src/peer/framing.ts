/** Frames on a TCP connection: 4 bytes of length (big endian), then one CBOR value. */
import { Encoder } from 'cbor-x'
import { PeerProtocolError } from '../errors'

/** Largest frame body in bytes. */
export const FRAME_LIMIT = 1_048_576

const LENGTH_BYTES = 4

// Records would make frames depend on earlier ones, so that a frame could not be checked by itself.
const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Encodes a value with its length.
 * @throws PeerProtocolError when it exceeds the limit; `what` names it there
 */
export function encodeValue (value: unknown, what: string): Buffer {
  const body = codec.encode(value)
  if (body.length > FRAME_LIMIT) throw new PeerProtocolError(`${what} of ${body.length} bytes exceeds ${FRAME_LIMIT}`)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, LENGTH_BYTES)
  return frame
}

/** @throws PeerProtocolError for anything but one CBOR value */
export function decodeValue (body: Uint8Array): unknown {
  try {
    return codec.decode(body)
  } catch (cause) {
    throw new PeerProtocolError('frame is not one CBOR value', { cause })
  }
}

/** The same bytes as a Buffer, without a copy. */
function viewOf (bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}

export interface FrameReader<Message> {
  /** Takes in bytes and returns the complete messages. Throws `PeerProtocolError` at the first bad frame. */
  push: (bytes: Uint8Array) => Message[]
  /** Bytes held for an incomplete frame. */
  pendingBytes: () => number
}

/**
 * Creates a reader at the start of a connection. It never holds more than one frame and one piece of input.
 * @param decode decodes and checks a frame body
 */
export function createValueReader<Message> (decode: (body: Uint8Array) => Message): FrameReader<Message> {
  let parts: Uint8Array[] = []
  let held = 0

  function join (): Buffer {
    const joined = parts.length === 1 ? viewOf(parts[0] as Uint8Array) : Buffer.concat(parts)
    parts = [joined]
    return joined
  }

  /** Length of the frame at the start of the held bytes; undefined while its length is incomplete. */
  function frameLength (): number | undefined {
    if (held < LENGTH_BYTES) return undefined
    if ((parts[0]?.length ?? 0) < LENGTH_BYTES) join()
    return viewOf(parts[0] as Uint8Array).readUInt32BE(0)
  }

  return {
    push (bytes) {
      if (bytes.length > 0) parts.push(bytes)
      held += bytes.length
      const messages: Message[] = []
      for (let length = frameLength(); length !== undefined; length = frameLength()) {
        if (length > FRAME_LIMIT) throw new PeerProtocolError(`frame of ${length} bytes exceeds ${FRAME_LIMIT}`)
        const end = LENGTH_BYTES + length
        if (held < end) break
        const joined = join()
        messages.push(decode(joined.subarray(LENGTH_BYTES, end)))
        held -= end
        parts = held === 0 ? [] : [joined.subarray(end)]
      }
      return messages
    },
    pendingBytes: () => held
  }
}
