/** The command line: parses arguments, runs one command, prints its output and returns the exit code. */
import { cac, type CAC } from 'cac'
import { nearestName } from '../configuration/nearestName'
import { parseEndpoint } from '../http/endpoint'
import { UsageError } from '../errors'
import type { PlatformClient } from '../platform/types'
import type { CommandContext, CommandInput } from './context'
import { commandTable, type CommandDefinition } from './commandTable'
import { reportError } from './errorReport'
import { ExitCode } from './exitCodes'
import { describeUsage } from './help'

const PROGRAM_NAME = 'waxwingspoke'

export const EXIT_CODES_TEXT = 'Exit codes: 0 ok, 1 failed or not confirmed, 2 usage, 3 conflict, 4 invalid file, ' +
  '5 platform unavailable, 6 outcome unknown'

export interface ProgramOptions {
  context: CommandContext
  /**
   * Registers commands of other modules, such as `serve` and `timeline`. Their actions must return promises.
   *
   * @default none
   */
  register?: (program: CAC) => void
}

export interface Program {
  /** Runs a command line (without the program name). Resolves to the exit code and never rejects. */
  run: (commandLine: readonly string[]) => Promise<number>
}

export function createProgram (options: ProgramOptions): Program {
  const { context, register } = options
  return {
    async run (commandLine) {
      const program = cac(PROGRAM_NAME)
      let exitCode: number = ExitCode.ok
      for (const definition of commandTable) {
        addCommand(program, definition, context, (code) => { exitCode = code })
      }
      register?.(program)
      program.help(sections => [...describeUsage(program, PROGRAM_NAME, sections), { body: EXIT_CODES_TEXT }])
      const json = commandLine.includes('--json')
      try {
        program.parse(['node', PROGRAM_NAME, ...commandLine], { run: false })
        if (program.options.help === true) return ExitCode.ok
        checkCommandLine(program, commandLine)
        await program.runMatchedCommand()
        return exitCode
      } catch (error) {
        return reportError(context, error, json)
      }
    }
  }
}

function addCommand (
  program: CAC, definition: CommandDefinition, context: CommandContext, setExitCode: (code: number) => void
): void {
  // Accepts any number of arguments so that the command itself can report missing and extra ones.
  const command = program.command(`${definition.name} [...words]`, definition.description)
  for (const [flag, description] of definition.options) command.option(flag, description)
  command.option('--json', 'Print JSON')
  for (const example of definition.examples) command.example(`  ${PROGRAM_NAME} ${example}`)
  command.action(async (positionals: string[], options: Record<string, unknown>) => {
    let client: PlatformClient | undefined
    const input: CommandInput = {
      context,
      arguments: positionals.map(String),
      options,
      platform () {
        client ??= createClient(context, options.platform)
        return client
      }
    }
    try {
      const output = await definition.run(input)
      context.print(options.json === true ? JSON.stringify(output.data, undefined, 2) + '\n' : output.text)
      setExitCode(output.exitCode ?? ExitCode.ok)
    } finally {
      await client?.close()
    }
  })
}

function createClient (context: CommandContext, address: unknown): PlatformClient {
  if (address === undefined) throw new UsageError('missing --platform URL')
  const endpoint = parseEndpoint(String(address).replace(/^http:\/\//, '').replace(/\/$/, ''))
  if (endpoint === undefined) throw new UsageError(`--platform takes http://HOST:PORT, not '${String(address)}'`)
  return context.createPlatform(endpoint)
}

/** Rejects unknown commands, which `cac` ignores, and unknown options, for which `cac` does not suggest a name. */
function checkCommandLine (program: CAC, commandLine: readonly string[]): void {
  const command = program.matchedCommand
  if (command === undefined) {
    const name = commandLine.find(argument => !argument.startsWith('-'))
    if (name === undefined) throw new UsageError(`no command given; ${PROGRAM_NAME} --help lists them`)
    throw new UsageError(`unknown command '${name}'` + suggest(name, program.commands.map(other => other.name)))
  }
  const known = command.options.flatMap(option => option.names)
  for (const name of Object.keys(program.options)) {
    if (name === '--' || command.hasOption(name) !== undefined || program.globalCommand.hasOption(name) !== undefined) continue
    throw new UsageError(`unknown option '--${name}'` + suggest(name, known))
  }
}

function suggest (name: string, known: readonly string[]): string {
  const nearest = nearestName(name, known)
  return nearest === undefined ? '' : ` (did you mean '${nearest}'?)`
}
