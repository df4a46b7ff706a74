/** Compares lease lengths and loans. `npx tsx experiments/quota/main.ts --seed N` writes JSON to standard output. */
import { parseArgs } from 'node:util'
import { UsageError } from '../../src/errors'
import { policies, scenarios } from './scenarios'
import { runTrial } from './trial'
import type { TrialResult } from './trial'

async function main (): Promise<void> {
  const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' } } })
  const seed = Number(values.seed)
  if (!Number.isInteger(seed)) throw new UsageError('--seed takes an integer')
  const results: TrialResult[] = []
  for (const scenario of scenarios) {
    for (const policy of policies) results.push(await runTrial(policy, scenario, seed))
  }
  process.stdout.write(`${JSON.stringify({ seed, results }, undefined, 2)}\n`)
}

await main()
