/**
 * Passes the bytes of a connection to the HTTP parser in small slices, and stops reading while the connection has enough
 * requests in progress. Without it, the parser takes 64 KB at a time, which is thousands of requests.
 */
import type { Socket } from 'node:net'

export interface ReadGate {
  /** Whether bytes wait that the parser has not got. */
  hasWaiting: () => boolean
  /** Bytes of memory that these bytes use. */
  waitingBytes: () => number
  /** Passes on what waits, if the connection may be read. To be called when requests have ended. */
  update: () => void
  /** The connection is not read as requests any more. */
  open: () => void
}

export interface ReadGateOptions {
  /** Whether the parser may get more bytes now. */
  mayRead: () => boolean
  /** Returns the number of bytes that the parser gets before it is asked again whether it may get more. */
  sliceBytes: () => number
  /** Called after the parser has got so many bytes. */
  onPassed: (bytes: number) => void
  /** Called when bytes wait, or no longer do. */
  onWaiting: () => void
}

/** Whether Node.js has paused the socket because of answers that wait; its parser must not get bytes then. */
function isPausedByServer (socket: Socket): boolean {
  return (socket as Socket & { _paused?: boolean })._paused === true
}

/** Puts a gate between the socket and its HTTP parser. To be called in the `connection` event of the server. */
export function createReadGate (socket: Socket, options: ReadGateOptions): ReadGate {
  const { mayRead, sliceBytes, onPassed, onWaiting } = options
  const readers = socket.listeners('data') as Array<(bytes: Buffer) => void>
  let waiting: Buffer | undefined
  let isOpen = false
  /** Whether the gate has paused the socket. */
  let hasPaused = false
  let pendingUpdate: NodeJS.Immediate | undefined

  function stopReading (): void {
    hasPaused = true
    socket.pause()
  }

  function mayPass (): boolean {
    return !isPausedByServer(socket) && mayRead()
  }

  /** Passes on waiting bytes until the parser may get no more, or has paused the socket itself. */
  function pass (): void {
    while (waiting !== undefined && !socket.destroyed) {
      if (!mayPass()) return stopReading()
      const size = sliceBytes()
      const slice = waiting.subarray(0, size)
      waiting = waiting.length > size ? waiting.subarray(size) : undefined
      for (const reader of readers) reader(slice)
      onPassed(slice.length)
      if (waiting !== undefined && socket.isPaused()) return
    }
  }

  function onData (bytes: Buffer): void {
    const isPassing = waiting !== undefined
    waiting = waiting === undefined ? bytes : Buffer.concat([waiting, bytes])
    // Bytes that were read before the pause took effect; they follow those that wait.
    if (!isPassing) pass()
    onWaiting()
  }

  /** The socket is resumed by others as well, whether or not its bytes may be read. */
  function onResume (): void {
    if (isOpen || waiting === undefined) return
    if (mayPass()) pass()
    else stopReading()
    // The parser must get the waiting bytes before new ones.
    if (waiting !== undefined && !socket.isPaused()) stopReading()
    onWaiting()
  }

  // A listener takes the connection from the HTTP parser, which otherwise reads it without such events.
  socket.on('data', onData)
  for (const reader of readers) socket.off('data', reader)
  socket.on('resume', onResume)

  return {
    hasWaiting: () => waiting !== undefined,
    // What has been passed on is a part of the same memory.
    waitingBytes: () => waiting?.buffer.byteLength ?? 0,
    update () {
      if (isOpen || !hasPaused || pendingUpdate !== undefined) return
      // Answers that are sent at once end in the same turn of the event loop, which would serve one connection only.
      pendingUpdate = setImmediate(() => {
        pendingUpdate = undefined
        if (isOpen || !hasPaused || !mayPass()) return
        hasPaused = false
        socket.resume()
      })
    },
    open () {
      isOpen = true
      waiting = undefined
      onWaiting()
      socket.off('data', onData)
      socket.off('resume', onResume)
    }
  }
}
