/** Starts programs as child processes, keeps their output, and ends each by its process id. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { appendFileSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { InternalError } from '../src/errors'

/** Milliseconds for a program to become ready. A busy machine needs about 2 s to start a router. */
const READY_LIMIT_MS = 20_000

export interface Program {
  pid: number
  /** First line of standard output that `isReady` accepted, parsed as JSON. */
  ready: Readonly<Record<string, unknown>>
  signal: (signal: NodeJS.Signals) => void
  /** Resolves with the exit code, or the signal that ended the process. */
  exited: Promise<number | NodeJS.Signals>
  /** Kills the process, also when it is stopped, and waits for its end. */
  stop: () => Promise<void>
  errorOutput: () => string
}

const children = new Set<ChildProcess>()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })

export interface StartProgramOptions {
  command: string
  parameters: readonly string[]
  /** File to which standard output is appended. */
  outputFile?: string
  /** Variables in addition to those of this process. */
  environment?: Readonly<Record<string, string>>
  /** Tells the line that shows that the program can be used. */
  isReady: (line: Readonly<Record<string, unknown>>) => boolean
}

/** Rejects with `InternalError` when the program ends or prints no ready line in time. */
export async function startProgram (options: StartProgramOptions): Promise<Program> {
  const env = { ...process.env, ...options.environment }
  const child = spawn(options.command, [...options.parameters], { env, stdio: ['ignore', 'pipe', 'pipe'] })
  children.add(child)
  let errorOutput = ''
  child.stderr.on('data', (part: Buffer) => { errorOutput = (errorOutput + part.toString()).slice(-4000) })
  const exited = new Promise<number | NodeJS.Signals>((resolve) => {
    child.once('error', () => { resolve(127) })
    child.once('exit', (code, signal) => { resolve(code ?? signal ?? 0) })
  }).finally(() => { children.delete(child) })
  const stop = async (): Promise<void> => {
    // SIGKILL also ends a process that SIGSTOP froze.
    child.kill('SIGKILL')
    await exited
  }
  const ready = await new Promise<Readonly<Record<string, unknown>>>((resolve, reject) => {
    const fail = (reason: string): void => {
      clearTimeout(timer)
      reject(new InternalError(`${options.command} ${options.parameters.join(' ')}: ${reason} ${errorOutput}`))
    }
    const timer = setTimeout(() => { fail('not ready in time') }, READY_LIMIT_MS)
    exited.then((code) => { fail(`ended with ${code}`) }).catch(() => {})
    createInterface({ input: child.stdout }).on('line', (line) => {
      if (options.outputFile !== undefined) appendFileSync(options.outputFile, `${line}\n`)
      const value = parseObject(line)
      if (value === undefined || !options.isReady(value)) return
      clearTimeout(timer)
      resolve(value)
    })
  }).catch(async (error: unknown) => {
    await stop()
    throw error
  })
  return {
    pid: child.pid ?? 0,
    ready,
    signal: (signal) => { child.kill(signal) },
    exited,
    stop,
    errorOutput: () => errorOutput
  }
}

/** Runs a program to its end; bounded in time. */
export async function runProgram (
  command: string, parameters: readonly string[]
): Promise<{ code: number | NodeJS.Signals, output: string }> {
  const child = spawn(command, [...parameters], { stdio: ['ignore', 'pipe', 'pipe'] })
  children.add(child)
  const timer = setTimeout(() => { child.kill('SIGKILL') }, READY_LIMIT_MS)
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (part: Buffer) => { output += part.toString() })
  const code = await new Promise<number | NodeJS.Signals>((resolve) => {
    child.once('close', (status, signal) => { resolve(status ?? signal ?? 0) })
  })
  clearTimeout(timer)
  children.delete(child)
  return { code, output }
}

function parseObject (line: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(line)
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}
