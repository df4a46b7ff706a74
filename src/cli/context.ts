/** Dependencies of the commands on the environment, injected so that tests need neither sockets nor files. */
import type { PlatformClient } from '../platform/types'
import type { Endpoint, WallClockMilliseconds } from '../types'

export interface HttpResponse {
  status: number
  body: string
}

/** Sends an HTTP request to a control port. Rejects if the response is not complete within the timeout. */
export type HttpFunction = (
  endpoint: Endpoint, method: 'GET' | 'POST', path: string, body: string | undefined, timeoutMilliseconds: number
) => Promise<HttpResponse>

export interface CommandContext {
  /** Creates a client for the address given with `--platform`. The program closes the client. */
  createPlatform: (endpoint: Endpoint) => PlatformClient
  http: HttpFunction
  /** Reads a text file. Rejects with the file system error. */
  readFile: (path: string) => Promise<string>
  print: (text: string) => void
  printError: (text: string) => void
  wallClock: () => WallClockMilliseconds
  randomBytes: (length: number) => Uint8Array
  /** Returns a new unique identifier for an operation. */
  createIdentifier: () => string
  sleep: (milliseconds: number) => Promise<void>
}

/** Parsed command line of a command. Option values are strings, booleans or arrays of strings. */
export interface CommandInput {
  context: CommandContext
  arguments: readonly string[]
  options: Readonly<Record<string, unknown>>
  /**
   * Returns the client for `--platform`.
   *
   * @throws UsageError if the option is missing.
   */
  platform: () => PlatformClient
}

/** Result of a command. `data` is printed as JSON with `--json`, and `text` otherwise. */
export interface CommandOutput {
  /** @default ExitCode.ok */
  exitCode?: number
  data: unknown
  text: string
}

export type CommandFunction = (input: CommandInput) => Promise<CommandOutput>
