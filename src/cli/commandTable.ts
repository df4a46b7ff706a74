/** Table of the operator commands. Commands of other modules are added with `register` of `createProgram`. */
import { runApply } from './commands/apply'
import { runCheck } from './commands/check'
import { runCustomers } from './commands/customers'
import { runKeys } from './commands/keys'
import { runMoves } from './commands/moves'
import { runPlan } from './commands/plan'
import { runStatus } from './commands/status'
import type { CommandFunction } from './context'

export interface CommandDefinition {
  /** Name and arguments as `cac` takes them. */
  pattern: string
  description: string
  options: ReadonlyArray<readonly [flag: string, description: string]>
  examples: readonly string[]
  run: CommandFunction
}

const PLATFORM = ['--platform <url>', 'Base address of the platform, http://HOST:PORT'] as const
const INSTANCE = ['--instance <address>', 'Control port HOST:PORT of an instance; may be repeated'] as const
const WAIT = ['--wait <seconds>', 'Longest time to wait for confirmations (default: 5)'] as const

export const commandTable: readonly CommandDefinition[] = [{
  pattern: 'check [...file]',
  description: 'Check a declarative file and list all errors',
  options: [['--settings', 'The file holds the settings of a daemon']],
  examples: ['check fleet.ini', 'check --settings router.ini'],
  run: runCheck
}, {
  pattern: 'plan [...file]',
  description: 'Show what applying a declarative file would change',
  options: [PLATFORM],
  examples: ['plan fleet.ini --platform http://10.0.0.1:7000'],
  run: runPlan
}, {
  pattern: 'apply [...file]',
  description: 'Make a declarative file the current configuration',
  options: [PLATFORM, WAIT, ['--expect <revision>', 'Fail unless this revision is current (default: the one planned against)']],
  examples: ['apply fleet.ini --platform http://10.0.0.1:7000 --wait 10'],
  run: runApply
}, {
  pattern: 'keys [...action]',
  description: 'keys grant CUSTOMER | keys withdraw HASH|KEY | keys list',
  options: [PLATFORM, INSTANCE, WAIT, ['--customer <name>', 'List only the keys of this customer']],
  examples: [
    'keys grant bakery --platform http://10.0.0.1:7000',
    'keys withdraw 9f86d081... --platform http://10.0.0.1:7000',
    'keys withdraw 9f86d081... --instance 10.0.0.7:8082',
    'keys list --customer bakery --platform http://10.0.0.1:7000'
  ],
  run: runKeys
}, {
  pattern: 'customers [...none]',
  description: 'List customers, their keys and the rates that instances hold',
  options: [PLATFORM],
  examples: ['customers --platform http://10.0.0.1:7000'],
  run: runCustomers
}, {
  pattern: 'moves [...none]',
  description: 'Report on rollouts',
  options: [PLATFORM],
  examples: ['moves --platform http://10.0.0.1:7000 --json'],
  run: runMoves
}, {
  pattern: 'status [...none]',
  description: 'Show the current revision and the state of all instances',
  options: [PLATFORM, INSTANCE],
  examples: ['status --platform http://10.0.0.1:7000', 'status --instance 10.0.0.7:8082'],
  run: runStatus
}]
