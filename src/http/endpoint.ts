/** Formats and parses endpoints. */
import type { Endpoint } from '../types'

const HIGHEST_PORT = 65_535

/** Formats an endpoint as `host:port`, with brackets around IPv6 addresses. */
export function formatEndpoint (endpoint: Endpoint): string {
  return endpoint.host.includes(':') ? `[${endpoint.host}]:${endpoint.port}` : `${endpoint.host}:${endpoint.port}`
}

/** Parses `host:port`; returns undefined when the text is invalid. Port 0 lets the operating system choose a port. */
export function parseEndpoint (text: string): Endpoint | undefined {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([^\s:/[\]]+)):(\d{1,5})$/.exec(text)
  if (match === null) return undefined
  const port = Number(match[3])
  return port > HIGHEST_PORT ? undefined : { host: match[1] ?? match[2]!, port }
}
