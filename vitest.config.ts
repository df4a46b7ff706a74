import { readFileSync } from 'node:fs'
import { configDefaults, defineConfig } from 'vitest/config'

/** Files named in KNOWN-RED.txt are passed over unless they are asked for. */
const knownRed = process.env.RUN_KNOWN_RED === '1'
  ? []
  : [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test: (\S+)$/gm)].map(([, file]) => file ?? '')

/** Tests that measure the memory of a process under a crowd of callers; they run alone, after all others. */
const MEMORY_TESTS = [
  'platform/__tests__/memoryAccount.test.ts',
  'platform/__tests__/requestCrowds.test.ts',
  'playground/__tests__/callerCrowds.test.ts'
]

const exclude = [...configDefaults.exclude, ...knownRed]
const testTimeout = 20_000

export default defineConfig({
  test: {
    reporters: ['default'],
    projects: [
      {
        test: {
          name: 'all',
          include: ['{src,platform,standins,experiments,playground}/**/__tests__/**/*.test.ts'],
          exclude: [...exclude, ...MEMORY_TESTS],
          // End-to-end cases start several processes each; more files at the same time would slow them past their limits.
          maxWorkers: 6,
          testTimeout,
          sequence: { groupOrder: 0 }
        }
      },
      {
        test: { name: 'memory', include: MEMORY_TESTS, exclude, maxWorkers: 1, testTimeout, sequence: { groupOrder: 1 } }
      }
    ]
  }
})
