/** Ready line of the stand-in programs. */

export interface ReadyLine {
  ready: true
  program: string
  port: number
  pid: number
  /** Port of the control server where it is another one. */
  controlPort?: number
}

/** Environment variable under which a program ends when its standard input closes, that is with its parent. */
export const EXIT_WITH_PARENT = 'STANDIN_EXIT_WITH_PARENT'

/** Prints the line that tells a test which port the program listens on. */
export function announceReady (program: string, port: number, more: { controlPort?: number } = {}): void {
  const line: ReadyLine = { ready: true, program, port, pid: process.pid, ...more }
  process.stdout.write(`${JSON.stringify(line)}\n`)
  if (process.env[EXIT_WITH_PARENT] === '1') process.stdin.resume().on('end', () => process.exit(1))
}
