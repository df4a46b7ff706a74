/** A small fleet of real processes on loopback: the platform, engines, a plain service, and router daemons. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { InternalError } from '../src/errors'
import { createHttpPlatformClient } from '../src/platform/httpPlatformClient'
import type { PlatformClient } from '../src/platform/types'
import type { ListedInstance } from '../src/types'
import { runProgram, startProgram } from './processes'
import type { Program } from './processes'

export interface Upstream {
  name: string
  url: string
  program: Program
}

export interface Router {
  name: string
  dataCentre: string
  callerUrl: string
  controlUrl: string
  controlAddress: string
  peerAddress: string
  program: Program
  logFile: string
}

export interface FleetOptions {
  /** Directory of the built programs. */
  programs: string
  /** @default a new temporary directory */
  directory?: string
}

export interface EngineOptions {
  name: string
  dataCentre: string
  /** More parameters of the program, for example `--decode`. */
  parameters?: readonly string[]
}

export interface RouterOptions {
  name: string
  dataCentre: string
  /** Settings in addition to the necessary ones, in INI. */
  settings?: string
  /** Ports of an earlier process that this one replaces. */
  replaces?: Router
  /** @default the platform's own address */
  platformUrl?: string
  /** Variables of the environment in addition to those of this process. */
  environment?: Readonly<Record<string, string>>
}

export interface Fleet {
  directory: string
  platformUrl: string
  startEngine: (options: EngineOptions) => Promise<Upstream>
  startService: (options: EngineOptions & { service: string }) => Promise<Upstream>
  startRouter: (options: RouterOptions) => Promise<Router>
  /** Starts a relay to the platform, through which a router can be cut off from it. */
  startRelay: () => Promise<{ url: string, controlUrl: string }>
  /** Client of the platform, for changes that need no operator command. */
  platform: PlatformClient
  /** Runs an operator command through the binary. */
  command: (...parameters: string[]) => Promise<{ code: number | NodeJS.Signals, output: string }>
  /** Writes the declarative configuration and applies it. */
  apply: (configuration: string) => Promise<string>
  /** Grants a key through the binary and returns it with its hash. */
  grantKey: (customer: string) => Promise<{ key: string, hash: string }>
  logFiles: () => readonly string[]
  /** Kills every process that was started, and removes the directory unless it was given. */
  stop: () => Promise<void>
}

const isStandinReady = (line: Readonly<Record<string, unknown>>): boolean => line.ready === true

/** Starts the platform; the rest is started through the returned methods. */
export async function startFleet (options: FleetOptions): Promise<Fleet> {
  const directory = options.directory ?? mkdtempSync(join(tmpdir(), 'waxwingspoke-'))
  const binary = join(options.programs, 'waxwingspoke')
  const programs: Program[] = []
  const logs: string[] = []

  async function start (file: string, parameters: readonly string[]) {
    const program = await startProgram({
      command: process.execPath, parameters: [join(options.programs, file), ...parameters], isReady: isStandinReady
    })
    programs.push(program)
    const port = Number(program.ready.port)
    return { program, port, url: `http://127.0.0.1:${port}` }
  }

  const platform = await start('platform.mjs', [])
  const client = createHttpPlatformClient({ endpoint: { host: '127.0.0.1', port: platform.port } })

  async function list (instance: ListedInstance): Promise<void> {
    const response = await fetch(`${platform.url}/control/instance`, { method: 'PUT', body: JSON.stringify(instance) })
    if (!response.ok) throw new InternalError(`the platform answered ${response.status} to the listing of ${instance.name}`)
  }

  async function startUpstream (
    file: string, { name, dataCentre, parameters = [], service }: EngineOptions & { service?: string }
  ): Promise<Upstream> {
    const { program, port, url } = await start(file, parameters)
    await list({
      name,
      kind: service === undefined ? 'engine' : 'service',
      dataCentre,
      endpoint: { host: '127.0.0.1', port },
      state: 'live',
      ...(service === undefined ? {} : { service })
    })
    return { name, url, program }
  }

  async function startRouter (
    { name, dataCentre, settings = '', replaces, platformUrl = platform.url, environment = {} }: RouterOptions
  ): Promise<Router> {
    const file = join(directory, `${name}.ini`)
    const address = (url: string | undefined): string => url?.replace('http://', '') ?? '127.0.0.1:0'
    writeFileSync(file, `[instance]
name = ${name}
data_centre = ${dataCentre}
[listen]
caller = ${address(replaces?.callerUrl)}
peer = ${address(replaces?.peerAddress)}
control = ${address(replaces?.controlUrl)}
[platform]
address = ${platformUrl}
${settings}
`)
    const logFile = join(directory, `${name}.log`)
    if (!logs.includes(logFile)) logs.push(logFile)
    const program = await startProgram({
      command: binary,
      parameters: ['serve', '--config', file],
      outputFile: logFile,
      environment,
      isReady: (line) => line.event === 'daemon.started'
    })
    programs.push(program)
    const { caller, peer, control } = program.ready as Record<string, string>
    const port = (text: string | undefined): number => Number(text?.split(':').at(-1))
    await list({
      name,
      kind: 'router',
      dataCentre,
      endpoint: { host: '127.0.0.1', port: port(control) },
      peerEndpoint: { host: '127.0.0.1', port: port(peer) },
      state: 'live'
    })
    return {
      name,
      dataCentre,
      callerUrl: `http://${String(caller)}`,
      controlUrl: `http://${String(control)}`,
      controlAddress: String(control),
      peerAddress: String(peer),
      program,
      logFile
    }
  }

  async function command (...parameters: string[]): Promise<{ code: number | NodeJS.Signals, output: string }> {
    return await runProgram(binary, [...parameters, '--platform', platform.url])
  }

  return {
    directory,
    platformUrl: platform.url,
    platform: client,
    startEngine: async (engine) => await startUpstream('engine.mjs', { ...engine, parameters: ['--platform', platform.url, ...engine.parameters ?? []] }),
    startService: async (service) => await startUpstream('service.mjs', service),
    startRouter,
    async startRelay () {
      const { program, url } = await start('relay.mjs', ['--target', platform.url.replace('http://', '')])
      return { url, controlUrl: `http://127.0.0.1:${String(program.ready.controlPort)}` }
    },
    command,
    async apply (configuration) {
      const file = join(directory, 'fleet.ini')
      writeFileSync(file, configuration)
      const { code, output } = await command('apply', file)
      if (code !== 0) throw new InternalError(`apply ended with ${code}: ${output}`)
      return output
    },
    async grantKey (customer) {
      const { code, output } = await command('keys', 'grant', customer)
      const key = /wws_[A-Za-z0-9_-]+/.exec(output)?.[0]
      const hash = /\b[0-9a-f]{64}\b/.exec(output)?.[0]
      if (code !== 0 || key === undefined || hash === undefined) throw new InternalError(`keys grant ended with ${code}: ${output}`)
      return { key, hash }
    },
    logFiles: () => logs,
    async stop () {
      await Promise.all(programs.map(async (program) => { await program.stop() }))
      await client.close()
      if (options.directory === undefined) rmSync(directory, { recursive: true, force: true })
    }
  }
}
