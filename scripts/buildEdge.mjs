// Builds the edge daemon for the platform: one file with only what the daemon loads.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  logLevel: 'warning',
  outfile: 'target/edge.cjs'
})
