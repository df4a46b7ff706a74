import { describe, expect, it, vi } from 'vitest'
import { applyConfiguration } from '../../configuration/apply'
import { readFleetConfiguration } from '../../configuration/fleetConfiguration'
import { renderSettings } from '../../edge/__tests__/fixtures'
import { createFakePlatform, type FakePlatform } from '../../platform/__tests__/fakePlatform'
import type { Endpoint, KeyRecord } from '../../types'
import { commandTable } from '../commandTable'
import type { CommandContext } from '../context'
import { createProgram } from '../program'
import { addServeCommand } from '../serveCommand'

const FLEET = '[data-centre south]\n[customer bakery]\nrate = 100\nburst = 500\n[model chat]\nversion = v1\n'
const PLATFORM = ['--platform', 'http://127.0.0.1:7000']

interface FakeInstance {
  revision: number
  unreachable: boolean
  keys: KeyRecord[]
  rollouts?: unknown
}

interface TestTerminal {
  run: (...words: string[]) => Promise<number>
  output: () => string
  errors: () => string
  json: () => any
  platform: FakePlatform
  instances: Record<number, FakeInstance>
  files: Record<string, string>
}

function createTerminal (): TestTerminal {
  const platform = createFakePlatform()
  const instances: Record<number, FakeInstance> = {
    1: { revision: 1, unreachable: false, keys: [] }, 2: { revision: 1, unreachable: false, keys: [] }
  }
  for (const port of [1, 2]) {
    platform.instances.push({ name: `r${port}`, kind: 'router', dataCentre: 'south', endpoint: { host: '127.0.0.1', port }, state: 'live' })
  }
  const files: Record<string, string> = { 'fleet.ini': FLEET }
  let printed = ''
  let errors = ''
  let time = 0
  const context: CommandContext = {
    createPlatform: () => platform,
    async http (endpoint: Endpoint, method, path, body) {
      const instance = instances[endpoint.port]
      if (instance === undefined || instance.unreachable) throw new Error('connection refused')
      if (path === '/control/keys') {
        instance.keys.push(...JSON.parse(body!) as KeyRecord[])
        return { status: 200, body: '{}' }
      }
      const quota = [{ customer: 'bakery', rate: 40, capacity: 200 }]
      return { status: 200, body: JSON.stringify({ instance: `r${endpoint.port}`, incarnation: 7, state: 'live', revision: instance.revision, keyVersion: 0, quota, rollouts: instance.rollouts ?? [], upstreams: [] }) }
    },
    readFile: async (path) => {
      if (files[path] === undefined) throw new Error('no such file')
      return files[path]
    },
    print: (text) => { printed += text },
    printError: (text) => { errors += text },
    wallClock: () => time,
    randomBytes: length => new Uint8Array(length).fill(++time),
    createIdentifier: () => `operation-${++time}`,
    sleep: async (milliseconds) => { time += milliseconds }
  }
  const program = createProgram({
    context,
    register (commands) {
      addServeCommand(commands, async () => { throw new Error('the daemon was started') })
    }
  })
  return {
    async run (...commandLine) {
      printed = ''
      errors = ''
      return await program.run(commandLine)
    },
    output: () => printed,
    errors: () => errors,
    json: () => JSON.parse(printed),
    platform,
    instances,
    files
  }
}

async function createConfiguredTerminal (): Promise<TestTerminal> {
  const terminal = createTerminal()
  await applyConfiguration(terminal.platform, readFleetConfiguration('fleet.ini', FLEET), 0, 'setup', 0)
  return terminal
}

describe('operator commands', () => {
  it.each([
    ['unknown command', ['aply', 'fleet.ini'], "'apply'"],
    ['unknown flag', ['plan', 'fleet.ini', '--platfrom', 'x'], "'platform'"],
    ['unknown action', ['keys', 'grnat', 'bakery', ...PLATFORM], "'grant'"],
    ['no command', [], '--help'],
    ['missing file', ['check', 'absent.ini'], 'absent.ini'],
    ['missing argument', ['check'], 'FILE'],
    ['extra argument', ['moves', 'chat', ...PLATFORM], "'chat'"],
    ['extra argument of serve', ['serve', 'router.ini'], "'router.ini'"],
    ['missing platform', ['moves'], '--platform'],
    ['malformed platform', ['moves', '--platform', 'nowhere'], 'HOST:PORT'],
    ['flag without value', ['moves', '--platform'], 'platform'],
    ['malformed wait', ['apply', 'fleet.ini', '--wait', 'soon', ...PLATFORM], '--wait'],
    ['malformed instance', ['status', '--instance', 'r1'], 'HOST:PORT']
  ])('rejects %s with exit code 2 and a hint', async (_, commandLine, hint) => {
    const terminal = createTerminal()
    expect(await terminal.run(...commandLine)).toBe(2)
    expect(terminal.errors()).toContain(hint)
  })

  // Guards against error messages that lack the final newline, so that the shell prompt follows on the same line, or that
  // do not suggest a next step.
  it.each([
    ['a usage error', ['check'], 2, /^error: missing argument FILE; see `waxwingspoke COMMAND --help`\n$/],
    ['an extra argument', ['customers', 'chat', ...PLATFORM], 2, /^error: unexpected argument 'chat'; see .*\n$/],
    ['an invalid file', ['check', 'bad.ini'], 4, /\nnext: correct the file and run `check`\n$/],
    ['an unknown customer', ['keys', 'grant', 'baker', ...PLATFORM], 1, /^error: no customer 'baker'.*; see the known names .*\n$/]
  ])('ends %s with a newline and the next step', async (_, commandLine, code, expected) => {
    const terminal = createTerminal()
    terminal.files['bad.ini'] = '[model x]\nverison = 1\n'
    expect(await terminal.run(...commandLine)).toBe(code)
    expect(terminal.errors()).toMatch(expected)
    expect(terminal.output()).toBe('')
  })

  // Guards against help that shows the parser patterns of `cac` instead of the arguments.
  it.each([
    { name: 'all commands', commandLine: ['--help'], usages: commandTable.flatMap(({ forms }) => forms.map(([usage]) => usage)) },
    ...commandTable.map(({ name, forms }) => ({
      name, commandLine: [name, '--help'], usages: forms.map(([usage]) => `$ waxwingspoke ${usage}\n`)
    }))
  ])('shows the usage of $name without parser patterns', async ({ commandLine, usages }) => {
    const log = vi.spyOn(console, 'log').mockImplementation(() => {})
    try {
      expect(await createTerminal().run(...commandLine)).toBe(0)
      const text = log.mock.calls.flat().join('\n')
      expect(text).not.toContain('[...')
      for (const usage of usages) expect(text).toContain(usage)
    } finally {
      log.mockRestore()
    }
  })

  it.each(commandTable.map(({ name, examples }) => ({ name, examples })))(
    'gives examples with valid options and arguments for $name', async ({ name, examples }) => {
      for (const example of examples) {
        expect(example.startsWith(name)).toBe(true)
        const terminal = createTerminal()
        await terminal.run(...example.split(' '))
        expect(terminal.errors()).not.toMatch(/unknown (option|command)|missing argument/)
      }
    })

  it('checks a file and lists all findings with exit code 4', async () => {
    const terminal = createTerminal()
    expect(await terminal.run('check', 'fleet.ini')).toBe(0)
    terminal.files['fleet.ini'] = FLEET + '[model x]\nverison = 1\n'
    expect(await terminal.run('check', 'fleet.ini', '--json')).toBe(4)
    expect(JSON.parse(terminal.errors()).error.findings).toMatchObject([{ line: 7 }, { line: 8, suggestion: 'version' }])
  })

  it('checks the settings of an edge daemon and lists all findings', async () => {
    const terminal = createTerminal()
    terminal.files['edge.ini'] = renderSettings()
    expect(await terminal.run('check', '--edge', 'edge.ini')).toBe(0)
    expect(terminal.output()).toBe('edge.ini: valid settings\n')
    terminal.files['edge.ini'] = renderSettings({ nodeName: '', 'bounds.leaseMs': 'soon' })
    expect(await terminal.run('check', '--edge', 'edge.ini', '--json')).toBe(4)
    expect(JSON.parse(terminal.errors()).error.findings).toMatchObject([{ key: 'instance.name' }, { key: 'limits.lease_ms' }])
  })

  it('applies a file and fails when an instance does not reach the new revision', async () => {
    const terminal = await createConfiguredTerminal()
    terminal.files['fleet.ini'] = FLEET.replace('v1', 'v2')
    terminal.instances[1]!.revision = 2
    expect(await terminal.run('apply', 'fleet.ini', '--json', ...PLATFORM)).toBe(1)
    expect(terminal.json()).toMatchObject({
      applied: true, revision: 2, instances: [{ name: 'r1', inForce: true }, { name: 'r2', inForce: false, detail: 'revision 1' }]
    })
    terminal.instances[2]!.revision = 2
    expect(await terminal.run('apply', 'fleet.ini', ...PLATFORM)).toBe(0)
    expect(terminal.output()).toContain('no changes')
  })

  it.each([
    ['conflict', 3, (terminal: TestTerminal) => terminal.run('apply', 'fleet.ini', '--expect', '5', ...PLATFORM)],
    ['platform unavailable', 5, (terminal: TestTerminal) => {
      terminal.platform.readFaults = ['unavailable']
      return terminal.run('apply', 'fleet.ini', ...PLATFORM)
    }],
    ['outcome unknown', 6, (terminal: TestTerminal) => {
      terminal.platform.writeFaults = ['none', 'lostAfter']
      terminal.platform.readFaults = ['none', 'none', 'none', 'unavailable']
      return terminal.run('apply', 'fleet.ini', ...PLATFORM)
    }]
  ])('exits with the documented code on %s', async (_, code, runCommand) => {
    const terminal = await createConfiguredTerminal()
    terminal.files['fleet.ini'] = FLEET.replace('v1', 'v2')
    expect(await runCommand(terminal)).toBe(code)
  })

  it('grants a key only for a known customer, shows it once and stores only its hash', async () => {
    const terminal = await createConfiguredTerminal()
    expect(await terminal.run('keys', 'grant', 'bakry', ...PLATFORM)).toBe(1)
    expect(terminal.errors()).toContain("'bakery'")
    expect(await terminal.run('keys', 'grant', 'bakery', '--json', ...PLATFORM)).toBe(0)
    const { key, hash } = terminal.json()
    expect(JSON.stringify(terminal.platform.rows('keys'))).not.toContain(key)
    await terminal.run('keys', 'list', ...PLATFORM)
    expect(terminal.output()).toContain(hash)
    expect(terminal.output()).not.toContain(key)
  })

  it('withdraws a key and lists the instances that have not confirmed it', async () => {
    const terminal = await createConfiguredTerminal()
    await terminal.run('keys', 'grant', 'bakery', '--json', ...PLATFORM)
    const { key, hash } = terminal.json()
    terminal.instances[2]!.unreachable = true
    expect(await terminal.run('keys', 'withdraw', key, '--json', ...PLATFORM)).toBe(1)
    expect(terminal.json()).toMatchObject({ hash, stored: true, confirmed: ['r1'], unconfirmed: [{ name: 'r2', failure: 'no answer' }] })
    terminal.instances[2]!.unreachable = false
    expect(await terminal.run('keys', 'withdraw', hash, ...PLATFORM)).toBe(0)
    expect(terminal.instances[2]!.keys).toMatchObject([{ hash, state: 'withdrawn', customer: 'bakery' }])
  })

  it('sends a withdrawal directly to an instance when the platform is unavailable and reports that it is not stored', async () => {
    const terminal = await createConfiguredTerminal()
    terminal.platform.readFaults = ['unavailable', 'unavailable']
    expect(await terminal.run('keys', 'withdraw', 'a'.repeat(64), '--instance', '127.0.0.1:2', '--json', ...PLATFORM)).toBe(5)
    expect(terminal.json()).toMatchObject({ stored: false, listKnown: false, confirmed: ['127.0.0.1:2'] })
    expect(await terminal.run('keys', 'withdraw', 'a'.repeat(64), '--instance', '127.0.0.1:2')).toBe(0)
    expect(terminal.instances[2]!.keys).toHaveLength(2)
  })

  it('reports the state of unresponsive instances and an unavailable platform as unknown', async () => {
    const terminal = await createConfiguredTerminal()
    terminal.instances[1]!.unreachable = true
    expect(await terminal.run('status', ...PLATFORM)).toBe(1)
    expect(terminal.output()).toMatch(/r1 +south +live +no answer +- +-/)
    expect(terminal.output()).toContain('their state is unknown')
    await terminal.run('customers', '--json', ...PLATFORM)
    expect(terminal.json()).toMatchObject({ instancesAnswered: 1, instancesListed: 2, customers: [{ name: 'bakery', heldRate: 40 }] })
    await terminal.run('moves', '--json', ...PLATFORM)
    expect(terminal.json()).toMatchObject([{ model: 'chat', state: 'requested', toVersion: 'v1' }])
    terminal.platform.readFaults = ['unavailable']
    expect(await terminal.run('moves', ...PLATFORM)).toBe(5)
    terminal.platform.readFaults = ['unavailable']
    expect(await terminal.run('status', '--instance', '127.0.0.1:2', '--json', ...PLATFORM)).toBe(5)
    expect(terminal.json()).toMatchObject({ platform: 'unavailable', instances: [{ name: 'r2' }] })
  })
  // Guards against reporting instance views as if they came from the platform's table, and against conclusions, such as
  // whether a deadline was met, that a possibly outdated record does not support.
  it.each([
    ['an unavailable platform', PLATFORM, {}, 5, 'unavailable', undefined],
    ['no platform option', [], {}, 0, 'not asked', undefined],
    ['a recorded missed deadline', [], { deadlineMissed: true }, 0, 'not asked', true],
    ['a rollout that finished in time', [], { phase: 'finished' }, 0, 'not asked', false],
    ['an unresponsive instance', ['--instance', '127.0.0.1:2'], {}, 1, 'not asked', undefined]
  ])('marks instance views as such with %s', async (_, extraArguments, fields, code, platform, deadlineMissed) => {
    const terminal = createTerminal()
    const record = { model: 'chat', toVersion: 'v2', phase: 'canary', share: 0.05, finishBy: 0, deadlineMissed: false, revision: 3 }
    terminal.instances[1]!.rollouts = [{ ...record, ...fields }]
    terminal.instances[2]!.unreachable = true
    for (const format of [['--json'], []]) {
      terminal.platform.readFaults = ['unavailable']
      expect(await terminal.run('moves', '--instance', '127.0.0.1:1', ...extraArguments, ...format)).toBe(code)
      if (format.length > 0) {
        expect(terminal.json()).toMatchObject({ source: 'instances', platform, age: 'unknown', instances: [{ name: 'r1' }, ...(code === 1 ? [{ failure: 'no answer' }] : [])] })
        expect(terminal.json().instances[0].rollouts[0].deadlineMissed).toBe(deadlineMissed)
      }
    }
    expect(terminal.output()).toContain(`platform ${platform}; the instances' views, age unknown:`)
    expect(terminal.output().includes('view unknown: 127.0.0.1:2 (no answer)')).toBe(code === 1)
  })

  it('reports the view of an instance as unknown when its rollouts cannot be read', async () => {
    const terminal = createTerminal()
    terminal.instances[1]!.rollouts = [{ model: 'chat', phase: 'sideways' }]
    expect(await terminal.run('moves', '--instance', '127.0.0.1:1')).toBe(1)
    expect(terminal.output()).toContain('view unknown: r1 (rollouts not readable)')
  })
})
