/** The command line of the daemon, as the platform starts it. */
import { readFileSync } from 'node:fs'

const RUN_COMMAND = /^run = "node (.*)"$/m

/**
 * Arguments of Node.js with which the platform starts the daemon, the program last, from `run` in deploy/system.toml.
 * The flags bound the memory of the process, so tests start it with the same ones.
 */
export function daemonArguments (): string[] {
  const [, text] = RUN_COMMAND.exec(readFileSync('deploy/system.toml', 'utf8'))!
  return text!.split(' ')
}
