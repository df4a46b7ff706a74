/**
 * HTTP response body that is read chunk by chunk. Unlike undici's stream, it still delivers the bytes received before a
 * connection was lost, so that a stream resumes as late as possible, and it has less overhead per chunk.
 */

export interface ResponseBody {
  /**
   * Reads the next bytes; undefined at the end. Rejects when the exchange failed or was aborted. Reads must not
   * overlap.
   */
  read: () => Promise<Uint8Array | undefined>
  /** Discards the buffered bytes and closes the connection unless the body has ended. */
  destroy: () => void
}

export interface ResponseBodySource {
  pause: () => void
  resume: () => void
  abort: () => void
}

/** Write side of a response body, to which the connection pushes data. */
export interface ResponseBodySink {
  body: ResponseBody
  push: (bytes: Uint8Array) => void
  end: () => void
  /** Fails the body. Bytes received before stay readable, unless the body was destroyed. */
  fail: (error: unknown) => void
}

interface PendingRead {
  resolve: (bytes: Uint8Array | undefined) => void
  reject: (error: unknown) => void
}

/** Creates a body that pauses its source while more than `limit` bytes are buffered. */
export function createResponseBody (source: ResponseBodySource, limit: number): ResponseBodySink {
  let queue: Uint8Array[] = []
  let queuedBytes = 0
  let paused = false
  let ended = false
  let failure: { error: unknown } | undefined
  let pendingRead: PendingRead | undefined

  function read (): Promise<Uint8Array | undefined> {
    const bytes = queue.shift()
    if (bytes !== undefined) {
      queuedBytes -= bytes.length
      if (paused && queuedBytes <= limit / 2) {
        paused = false
        source.resume()
      }
      return Promise.resolve(bytes)
    }
    if (failure !== undefined) return Promise.reject(failure.error)
    if (ended) return Promise.resolve(undefined)
    return new Promise((resolve, reject) => { pendingRead = { resolve, reject } })
  }

  return {
    body: {
      read,
      destroy () {
        queue = []
        queuedBytes = 0
        if (!ended && failure === undefined) source.abort()
      }
    },
    push (bytes) {
      if (pendingRead !== undefined) {
        const { resolve } = pendingRead
        pendingRead = undefined
        resolve(bytes)
        return
      }
      queue.push(bytes)
      queuedBytes += bytes.length
      if (queuedBytes > limit && !paused) {
        paused = true
        source.pause()
      }
    },
    end () {
      ended = true
      pendingRead?.resolve(undefined)
      pendingRead = undefined
    },
    fail (error) {
      if (ended || failure !== undefined) return
      failure = { error }
      pendingRead?.reject(error)
      pendingRead = undefined
    }
  }
}

/** Reads a complete body; returns undefined when it is longer than `limit` bytes. */
export async function readWholeBody (body: ResponseBody, limit: number): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = []
  let length = 0
  for (let chunk = await body.read(); chunk !== undefined; chunk = await body.read()) {
    length += chunk.length
    if (length > limit) return undefined
    chunks.push(chunk)
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)
}
