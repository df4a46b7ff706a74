import { readFileSync } from 'node:fs'
import { configDefaults, defineConfig } from 'vitest/config'

/** Files named in KNOWN-RED.txt are passed over unless they are asked for. */
const knownRed = process.env.RUN_KNOWN_RED === '1'
  ? []
  : [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test: (\S+)$/gm)].map(([, file]) => file ?? '')

export default defineConfig({
  test: {
    include: ['{src,platform,standins,experiments,playground}/**/__tests__/**/*.test.ts'],
    exclude: [...configDefaults.exclude, ...knownRed],
    // End-to-end cases start several processes each; more files at the same time would slow them past their limits.
    maxWorkers: 6,
    testTimeout: 20_000,
    reporters: ['default']
  }
})
