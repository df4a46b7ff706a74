/** Helpers shared by the commands for reading arguments, options and files. */
import { readFleetConfiguration } from '../configuration/fleetConfiguration'
import { parseEndpoint } from '../http/endpoint'
import { UsageError } from '../errors'
import type { Endpoint, FleetConfiguration } from '../types'
import type { CommandInput } from './context'

const MAXIMUM_WAIT_SECONDS = 3600

export function requiredArgument (input: CommandInput, index: number, name: string): string {
  const value = input.arguments[index]
  if (value === undefined || value === '') throw new UsageError(`missing argument ${name}`)
  return value
}

/** @throws UsageError if there are more than `count` arguments. */
export function noFurtherArguments (input: CommandInput, count: number): void {
  const extra = input.arguments[count]
  if (extra !== undefined) throw new UsageError(`unexpected argument '${extra}'`)
}

/**
 * Reads a text file.
 *
 * @throws UsageError if the file cannot be read.
 */
export async function readTextFile (input: CommandInput, path: string): Promise<string> {
  try {
    return await input.context.readFile(path)
  } catch (cause) {
    throw new UsageError(`cannot read '${path}': ${cause instanceof Error ? cause.message : String(cause)}`, { cause })
  }
}

/** Parses the declarative file given as the only argument. */
export async function readConfigurationArgument (input: CommandInput): Promise<FleetConfiguration> {
  const file = requiredArgument(input, 0, 'FILE')
  noFurtherArguments(input, 1)
  return readFleetConfiguration(file, await readTextFile(input, file))
}

/** Returns an option given in seconds, converted to milliseconds. */
export function secondsOption (input: CommandInput, name: string, defaultSeconds: number): number {
  const value = input.options[name]
  if (value === undefined) return defaultSeconds * 1000
  const seconds = Number(value)
  if (typeof value === 'boolean' || !(seconds >= 0 && seconds <= MAXIMUM_WAIT_SECONDS)) {
    throw new UsageError(`--${name} takes seconds from 0 to ${MAXIMUM_WAIT_SECONDS}`)
  }
  return seconds * 1000
}

export function textOption (input: CommandInput, name: string): string | undefined {
  const value = input.options[name]
  if (value === undefined) return undefined
  if (typeof value === 'boolean' || Array.isArray(value)) throw new UsageError(`--${name} takes one value`)
  return String(value)
}

/** Returns the control port addresses given with `--instance`, which may be repeated. */
export function instanceOption (input: CommandInput): readonly Endpoint[] {
  const { instance } = input.options
  if (instance === undefined) return []
  return (Array.isArray(instance) ? instance : [instance]).map((value) => {
    const endpoint = parseEndpoint(String(value))
    if (endpoint === undefined) throw new UsageError(`--instance takes HOST:PORT of a control port, not '${String(value)}'`)
    return endpoint
  })
}
