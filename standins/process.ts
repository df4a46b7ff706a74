/** Starts stand-in programs as child processes and makes sure that they end with the test. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { InternalError } from '../src/errors'
import type { Endpoint } from '../src/types'
import { EXIT_WITH_PARENT } from './ready'
import type { ReadyLine } from './ready'

/** Last lines of output that are kept for each program. */
const OUTPUT_LINES = 5000

/** Milliseconds within which a program prints its ready line. Starting tsx takes about 1 s on a busy machine. */
const READY_TIMEOUT_MS = 20_000

export interface StandinProcess {
  endpoint: Endpoint
  url: string
  /** URL under which `/control/` is reached; differs from `url` for the relay only. */
  controlUrl: string
  pid: number
  /** The whole ready line, for programs that listen on more ports. */
  ready: Readonly<ReadyLine & Record<string, unknown>>
  /** Last lines that the program printed besides its ready line, and its error output. */
  output: () => readonly string[]
  /** Sends a signal to this process only. */
  signal: (signal: NodeJS.Signals) => void
  /** Resolves with the exit code, or the signal that ended the process. */
  exited: Promise<number | NodeJS.Signals>
  /** Kills the process, also when it is stopped, and waits for its end. */
  stop: () => Promise<void>
}

export interface StartOptions {
  /** Environment in addition to that of this process. @default {} */
  environment?: Readonly<Record<string, string>>
  /** Milliseconds to wait for the ready line. @default 20000 */
  readyTimeout?: number
}

const children = new Set<ChildProcess>()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })

/** File of a stand-in: its source here, or its bundle next to the bundle that this module is part of. */
export function standinProgram (name: 'platform' | 'engine' | 'service' | 'relay'): string {
  const file = import.meta.url.endsWith('.ts') ? `./${name}/main.ts` : `./${name}.mjs`
  return fileURLToPath(new URL(file, import.meta.url))
}

/**
 * Starts a program and resolves when it has printed its ready line. Scripts run through node, TypeScript with tsx; any
 * other file is run itself.
 * Rejects with `InternalError` when the program ends or stays silent before.
 */
export async function startProcess (
  file: string, parameters: readonly string[] = [], options: StartOptions = {}
): Promise<StandinProcess> {
  const script = /\.[cm]?[jt]s$/.test(file)
  const loader = file.endsWith('ts') ? ['--import', 'tsx'] : []
  const child = spawn(script ? process.execPath : file, [...script ? [...loader, file] : [], ...parameters], {
    // The open pipe to standard input tells a stand-in whether this process still runs, however it ends.
    stdio: ['pipe', 'pipe', 'pipe'], env: { ...process.env, [EXIT_WITH_PARENT]: '1', ...options.environment }
  })
  children.add(child)
  child.stdin.on('error', () => undefined)
  const lines: string[] = []
  const keepLine = (line: string): void => {
    lines.push(line)
    if (lines.length > OUTPUT_LINES) lines.shift()
  }
  const exited = new Promise<number | NodeJS.Signals>((resolve) => {
    // Without a process there is no exit event.
    child.once('error', (error) => {
      children.delete(child)
      keepLine(String(error))
      resolve(-1)
    })
    child.once('exit', (code, signal) => {
      children.delete(child)
      resolve(code ?? signal ?? 0)
    })
  })
  createInterface({ input: child.stderr }).on('line', keepLine)

  async function stop (): Promise<void> {
    // SIGKILL also ends a process that SIGSTOP froze.
    child.kill('SIGKILL')
    await exited
  }

  const ready = await new Promise<ReadyLine>((resolve, reject) => {
    const fail = (reason: string): void => {
      clearTimeout(timer)
      reject(new InternalError(`${file}: ${reason}; output: ${lines.join(' | ')}`))
    }
    const timer = setTimeout(() => fail('no ready line'), options.readyTimeout ?? READY_TIMEOUT_MS)
    exited.then((code) => fail(`ended with ${code}`)).catch(() => undefined)
    createInterface({ input: child.stdout }).on('line', (line) => {
      const parsed = parseReadyLine(line)
      if (parsed === undefined) {
        keepLine(line)
        return
      }
      clearTimeout(timer)
      resolve(parsed)
    })
  }).catch(async (error: unknown) => {
    await stop()
    throw error
  })

  const endpoint = { host: '127.0.0.1', port: ready.port }
  return {
    endpoint,
    url: `http://127.0.0.1:${ready.port}`,
    controlUrl: `http://127.0.0.1:${ready.controlPort ?? ready.port}`,
    pid: ready.pid,
    ready: { ...ready },
    output: () => lines,
    signal: (signal) => { child.kill(signal) },
    exited,
    stop
  }
}

function parseReadyLine (line: string): ReadyLine | undefined {
  if (!line.startsWith('{')) return undefined
  try {
    const value = JSON.parse(line) as Partial<ReadyLine>
    return value.ready === true && typeof value.port === 'number' ? value as ReadyLine : undefined
  } catch {
    return undefined
  }
}

/** Sends a control request to a stand-in and returns the answer's JSON. */
export async function controlStandin<Value = unknown> (
  url: string, method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown
): Promise<Value> {
  const response = await fetch(`${url}/control/${path}`, {
    method, ...(body === undefined ? {} : { body: JSON.stringify(body) })
  })
  if (!response.ok) throw new InternalError(`control ${method} ${path}: status ${response.status}`)
  return await response.json() as Value
}
