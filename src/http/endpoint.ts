/** Endpoints as text. */
import type { Endpoint } from '../types'

const HIGHEST_PORT = 65_535

/** Formats an endpoint as `host:port`, with brackets around IPv6 addresses. */
export function formatEndpoint (endpoint: Endpoint): string {
  return endpoint.host.includes(':') ? `[${endpoint.host}]:${endpoint.port}` : `${endpoint.host}:${endpoint.port}`
}

/** Parses `host:port`; undefined when the text is not an endpoint. Port 0 leaves the choice to the system. */
export function parseEndpoint (text: string): Endpoint | undefined {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([^\s:/[\]]+)):(\d{1,5})$/.exec(text)
  if (match === null) return undefined
  const port = Number(match[3])
  return port > HIGHEST_PORT ? undefined : { host: match[1] ?? match[2]!, port }
}
