/** What commands get from outside, so that tests need neither sockets nor files. */
import type { PlatformClient } from '../platform/types'
import type { Endpoint, WallClockMilliseconds } from '../types'

export interface HttpAnswer {
  status: number
  body: string
}

/** One HTTP exchange with a control port. Rejects when there is no whole answer within the time limit. */
export type HttpFunction = (
  endpoint: Endpoint, method: 'GET' | 'POST', path: string, body: string | undefined, timeoutMilliseconds: number
) => Promise<HttpAnswer>

export interface CommandContext {
  /** Creates a client for the address given with `--platform`. The program closes it. */
  createPlatform: (endpoint: Endpoint) => PlatformClient
  http: HttpFunction
  /** Reads a text file. Rejects with the error of the file system. */
  readFile: (path: string) => Promise<string>
  print: (text: string) => void
  printError: (text: string) => void
  wallClock: () => WallClockMilliseconds
  randomBytes: (length: number) => Uint8Array
  /** Returns a new unique identifier for an operation. */
  createIdentifier: () => string
  sleep: (milliseconds: number) => Promise<void>
}

/** Options of a command after parsing; every value is text, a flag or a list of texts. */
export interface CommandInput {
  context: CommandContext
  arguments: readonly string[]
  options: Readonly<Record<string, unknown>>
  /** Client of `--platform`. Rejects with `UsageError` when the option is missing. */
  platform: () => PlatformClient
}

/** What a command has found out; printed as JSON with `--json` and by `text` otherwise. */
export interface CommandOutput {
  /** @default ExitCode.ok */
  exitCode?: number
  data: unknown
  text: string
}

export type CommandFunction = (input: CommandInput) => Promise<CommandOutput>
