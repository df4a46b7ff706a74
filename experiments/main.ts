/**
 * Experiments with routing policies against models of engines.
 *
 * `npm run experiment -- --scenario NAME --policy NAME --preset fornada|splitwell --seed N` prints the figures of one
 * run as JSON; `npm run experiment -- --all` prints a table over policies, scenarios and seeds. Both write an HTML report
 * into experiments/results.
 */
import { cac } from 'cac'
import { UsageError } from '../src/errors'
import { MAIN_POLICIES, POLICIES } from './model/policies'
import { PRESETS } from './model/presets'
import { runExperiment } from './model/run'
import type { RunResult } from './model/run'
import { SCENARIOS } from './model/scenarios'
import type { RolloutResult } from './rollout/run'
import { renderRun, renderSummary, writeResult } from './report'
import { formatRollouts, renderRollout, renderRollouts } from './rollout/report'
import { BAD_VERSION, ROLLOUT_POLICIES, runRolloutExperiment } from './rollout/run'
import { checkRolloutTargets, GOOD_SEEDS_FACTOR, rolloutRequests, summarizeRollouts } from './rollout/summary'
import { createProgressBar, runAll } from './runAll'
import type { AnyRequest, AnyResult } from './runAll'
import { checkTargets, formatTable, formatTargets, summarize } from './summary'

interface Options {
  all?: boolean
  scenario: string
  policy: string
  preset: string
  seed: number
  seeds: number
  workers: number
}

const SCENARIO_NAMES = [...Object.keys(SCENARIOS), BAD_VERSION]

/** Names separated by commas, or all of them when none is given. */
function selectNames (kind: string, given: string, known: readonly string[], all: readonly string[] = known): string[] {
  if (given === '') return [...all]
  const names = given.split(',')
  for (const name of names) {
    if (!known.includes(name)) throw new UsageError(`unknown ${kind} '${name}'; known: ${known.join(', ')}`)
  }
  return names
}

function requireCount (name: string, value: number): number {
  if (!Number.isSafeInteger(value) || value < 1) throw new UsageError(`--${name} must be a positive whole number`)
  return value
}

function isRollout (result: AnyResult): result is RolloutResult {
  return result.scenario === BAD_VERSION
}

async function runOne (options: Options): Promise<void> {
  const [preset] = selectNames('preset', options.preset, Object.keys(PRESETS))
  const [scenario] = selectNames('scenario', options.scenario, SCENARIO_NAMES)
  const policies = scenario === BAD_VERSION ? ROLLOUT_POLICIES : Object.keys(POLICIES)
  const [policy] = selectNames('policy', options.policy || 'waxwingspoke', policies)
  const request = {
    preset: preset!, scenario: scenario!, policy: policy!, seed: requireCount('seed', options.seed)
  }
  const result = scenario === BAD_VERSION ? await runRolloutExperiment(request) : runExperiment(request)
  const name = `${result.preset}-${result.scenario}-${result.policy}-${result.seed}.html`
  const path = await writeResult(name, isRollout(result) ? renderRollout(result) : renderRun(result))
  process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`)
  process.stderr.write(`report: ${path}\n`)
}

async function runTable (options: Options): Promise<void> {
  const requests: AnyRequest[] = []
  const seeds = requireCount('seeds', options.seeds)
  for (const preset of selectNames('preset', options.preset, Object.keys(PRESETS))) {
    for (const scenario of selectNames('scenario', options.scenario, SCENARIO_NAMES)) {
      if (scenario === BAD_VERSION) {
        const policies = selectNames('policy', options.policy, Object.keys(POLICIES), ROLLOUT_POLICIES)
        requests.push(...rolloutRequests(preset, policies.filter(policy => ROLLOUT_POLICIES.includes(policy)), seeds))
        continue
      }
      for (const policy of selectNames('policy', options.policy, Object.keys(POLICIES), MAIN_POLICIES)) {
        for (let seed = 1; seed <= seeds; seed++) requests.push({ preset, scenario, policy, seed })
      }
    }
  }
  const results = await runAll(requests, requireCount('workers', options.workers), createProgressBar(requests.length))
  const rows = summarize(results.filter((result): result is RunResult => !isRollout(result)))
  const rollouts = summarizeRollouts(results.filter(isRollout))
  const targets = [...checkTargets(rows), ...checkRolloutTargets(rollouts)]
  await writeResult('all.json', `${JSON.stringify({ rows, rollouts, targets }, undefined, 2)}\n`)
  const path = await writeResult('all.html', renderSummary(rows, targets, renderRollouts(rollouts)))
  process.stdout.write(`median (lowest-highest) over ${seeds} seeds\n`)
  if (rows.length > 0) process.stdout.write(`${formatTable(rows)}\n`)
  if (rollouts.length > 0) {
    process.stdout.write(`${BAD_VERSION}: ${seeds} seeds; the good version of waxwingspoke ${seeds * GOOD_SEEDS_FACTOR} seeds\n`)
    process.stdout.write(`${formatRollouts(rollouts)}\n`)
  }
  if (targets.length > 0) process.stdout.write(`targets of design 2.2, medians unless stated\n${formatTargets(targets)}\n`)
  process.stderr.write(`report: ${path}\n`)
}

const program = cac('experiment')
program.command('', 'Measure routing policies')
  .option('--all', 'Run all policies in all scenarios')
  .option('--scenario <name>', 'Scenario; with --all a list separated by commas', { default: '' })
  .option('--policy <name>', 'Policy; with --all a list separated by commas', { default: '' })
  .option('--preset <name>', 'Preset: fornada or splitwell', { default: '' })
  .option('--seed <number>', 'Seed of a single run', { default: 1 })
  .option('--seeds <number>', 'Seeds for each line of the table', { default: 20 })
  .option('--workers <number>', 'Worker processes for --all', { default: 4 })
  .action((options: Options) => options.all === true ? runTable(options) : runOne(options))
program.help()

try {
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
}
