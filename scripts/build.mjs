// Builds the single executable: bundles with esbuild, prepares the blob with Node, and injects it into a copy of node.
import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, existsSync, mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const output = 'dist'
mkdirSync(output, { recursive: true })

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  sourcemap: false,
  logLevel: 'warning',
  // Optional native modules do not survive bundling. As externals they make the executable print a warning at each start.
  alias: { 'unix-dgram': './scripts/optionalModule.cjs', 'cbor-extract': './scripts/optionalModule.cjs' }
}

await build({ ...common, entryPoints: ['src/main.ts'], format: 'cjs', outfile: join(output, 'waxwingspoke.cjs') })

// Programs that stand in for outside systems, and the demonstration, run from JavaScript bundles.
const programs = {
  'standins/platform/main.ts': 'platform.mjs',
  'standins/engine/main.ts': 'engine.mjs',
  'standins/service/main.ts': 'service.mjs',
  'standins/relay/main.ts': 'relay.mjs',
  'playground/demo/main.ts': 'demo.mjs'
}
const banner = { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
for (const [entry, file] of Object.entries(programs)) {
  if (!existsSync(entry)) continue
  await build({ ...common, entryPoints: [entry], format: 'esm', banner, outfile: join(output, file) })
}

const configuration = join(output, 'sea-config.json')
const blob = join(output, 'sea.blob')
const binary = join(output, 'waxwingspoke')
writeFileSync(configuration, JSON.stringify({
  main: join(output, 'waxwingspoke.cjs'), output: blob, disableExperimentalSEAWarning: true
}))
execFileSync(process.execPath, ['--experimental-sea-config', configuration], { stdio: ['ignore', 'ignore', 'inherit'] })
copyFileSync(process.execPath, binary)
chmodSync(binary, 0o755)
execFileSync(process.execPath, [
  join('node_modules', 'postject', 'dist', 'cli.js'), binary, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', FUSE
], { stdio: ['ignore', 'ignore', 'inherit'] })
