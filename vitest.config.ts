import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['{src,standins,experiments,playground}/**/__tests__/**/*.test.ts'],
    // End-to-end cases start real processes; running files in parallel would make their time limits depend on the load.
    fileParallelism: true,
    maxWorkers: 6,
    testTimeout: 20_000,
    reporters: ['default']
  }
})
