/** Definitions of the operator commands. Other modules add their commands through the `register` option of `createProgram`. */
import { runApply } from './commands/apply'
import { runCheck } from './commands/check'
import { runCustomers } from './commands/customers'
import { runKeys } from './commands/keys'
import { runMoves } from './commands/moves'
import { runPlan } from './commands/plan'
import { runStatus } from './commands/status'
import type { CommandFunction } from './context'

export interface CommandDefinition {
  name: string
  description: string
  /** Usage lines of the help: one for each form of the command, with its arguments and description. */
  forms: ReadonlyArray<readonly [usage: string, description: string]>
  options: ReadonlyArray<readonly [flag: string, description: string]>
  examples: readonly string[]
  run: CommandFunction
}

const PLATFORM = ['--platform <url>', 'Base address of the platform, http://HOST:PORT'] as const
const INSTANCE = ['--instance <address>', 'Control port HOST:PORT of an instance; may be repeated'] as const
const WAIT = ['--wait <seconds>', 'Longest time to wait for confirmations (default: 5)'] as const

export const commandTable: readonly CommandDefinition[] = [{
  name: 'check',
  description: 'Check a declarative file and list all errors',
  forms: [['check FILE', 'Check a declarative file and list all errors']],
  options: [
    ['--settings', 'The file holds the settings of a daemon'],
    ['--edge', 'The file holds the settings of an edge daemon']
  ],
  examples: ['check fleet.ini', 'check --settings router.ini', 'check --edge edge.ini'],
  run: runCheck
}, {
  name: 'plan',
  description: 'Show what applying a declarative file would change',
  forms: [['plan FILE', 'Show what applying a declarative file would change']],
  options: [PLATFORM],
  examples: ['plan fleet.ini --platform http://10.0.0.1:7000'],
  run: runPlan
}, {
  name: 'apply',
  description: 'Make a declarative file the current configuration',
  forms: [['apply FILE', 'Make a declarative file the current configuration']],
  options: [PLATFORM, WAIT, ['--expect <revision>', 'Fail unless this revision is current (default: the one planned against)']],
  examples: ['apply fleet.ini --platform http://10.0.0.1:7000 --wait 10'],
  run: runApply
}, {
  name: 'keys',
  description: 'Grant, withdraw and list keys',
  forms: [
    ['keys grant CUSTOMER', 'Create a key and show it once'],
    ['keys withdraw HASH|KEY', 'Withdraw a key for good'],
    ['keys list', 'List hashes, customers and states of keys']
  ],
  options: [PLATFORM, INSTANCE, WAIT, ['--customer <name>', 'List only the keys of this customer']],
  examples: [
    'keys grant bakery --platform http://10.0.0.1:7000',
    'keys withdraw 9f86d081... --platform http://10.0.0.1:7000',
    'keys withdraw 9f86d081... --instance 10.0.0.7:8082',
    'keys list --customer bakery --platform http://10.0.0.1:7000'
  ],
  run: runKeys
}, {
  name: 'customers',
  description: 'List customers, their keys and the rates that instances hold',
  forms: [['customers', 'List customers, their keys and the rates that instances hold']],
  options: [PLATFORM],
  examples: ['customers --platform http://10.0.0.1:7000'],
  run: runCustomers
}, {
  name: 'moves',
  description: 'Report on rollouts',
  forms: [['moves', 'Report on rollouts']],
  options: [PLATFORM, INSTANCE],
  examples: [
    'moves --platform http://10.0.0.1:7000 --json',
    'moves --platform http://10.0.0.1:7000 --instance 10.0.0.7:8082'
  ],
  run: runMoves
}, {
  name: 'status',
  description: 'Show the current revision and the state of all instances',
  forms: [['status', 'Show the current revision and the state of all instances']],
  options: [PLATFORM, INSTANCE],
  examples: ['status --platform http://10.0.0.1:7000', 'status --instance 10.0.0.7:8082'],
  run: runStatus
}]
