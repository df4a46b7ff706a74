/**
 * Body of an HTTP response, read piece by piece. Unlike undici's stream it still delivers the bytes that came before a
 * connection was lost, so that a stream resumes as late as possible, and it costs less for each piece.
 */

export interface ResponseBody {
  /** Next bytes, or undefined at the end. Rejects when the exchange failed or was aborted. One read at a time. */
  read: () => Promise<Uint8Array | undefined>
  /** Closes the connection unless the body has ended. */
  destroy: () => void
}

export interface ResponseBodySource {
  pause: () => void
  resume: () => void
  abort: () => void
}

/** The side of the body that the connection feeds. */
export interface ResponseBodySink {
  body: ResponseBody
  push: (bytes: Uint8Array) => void
  end: () => void
  /** Bytes that came before stay readable, unless the body was destroyed. */
  fail: (error: unknown) => void
}

interface PendingRead {
  resolve: (bytes: Uint8Array | undefined) => void
  reject: (error: unknown) => void
}

/** Creates a body that pauses its source while more than `limit` bytes wait to be read. */
export function createResponseBody (source: ResponseBodySource, limit: number): ResponseBodySink {
  let queue: Uint8Array[] = []
  let queued = 0
  let paused = false
  let ended = false
  let failure: { error: unknown } | undefined
  let pending: PendingRead | undefined

  function read (): Promise<Uint8Array | undefined> {
    const bytes = queue.shift()
    if (bytes !== undefined) {
      queued -= bytes.length
      if (paused && queued <= limit / 2) {
        paused = false
        source.resume()
      }
      return Promise.resolve(bytes)
    }
    if (failure !== undefined) return Promise.reject(failure.error)
    if (ended) return Promise.resolve(undefined)
    return new Promise((resolve, reject) => { pending = { resolve, reject } })
  }

  return {
    body: {
      read,
      destroy () {
        queue = []
        queued = 0
        if (!ended && failure === undefined) source.abort()
      }
    },
    push (bytes) {
      if (pending !== undefined) {
        const { resolve } = pending
        pending = undefined
        resolve(bytes)
        return
      }
      queue.push(bytes)
      queued += bytes.length
      if (queued > limit && !paused) {
        paused = true
        source.pause()
      }
    },
    end () {
      ended = true
      pending?.resolve(undefined)
      pending = undefined
    },
    fail (error) {
      if (ended || failure !== undefined) return
      failure = { error }
      pending?.reject(error)
      pending = undefined
    }
  }
}

/** Reads a body up to a limit in bytes; undefined when it is longer. */
export async function readWholeBody (body: ResponseBody, limit: number): Promise<Uint8Array | undefined> {
  const parts: Uint8Array[] = []
  let length = 0
  for (let part = await body.read(); part !== undefined; part = await body.read()) {
    length += part.length
    if (length > limit) return undefined
    parts.push(part)
  }
  return parts.length === 1 ? parts[0] : Buffer.concat(parts)
}
