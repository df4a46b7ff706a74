/** Size of the head of a request. */
import type { IncomingMessage } from 'node:http'

/** Returns the size in bytes of the request line and all header fields, including separators and line ends. */
export function countHeaderBytes ({ method, url, rawHeaders }: IncomingMessage): number {
  const requestLine = (method?.length ?? 0) + (url?.length ?? 0) + ' HTTP/1.1\r\n'.length + 1
  // Each name is followed by a colon and a space, each value by a line end.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, requestLine)
}
