/** Ready line of the stand-in programs. */

export interface ReadyLine {
  ready: true
  program: string
  port: number
  pid: number
  /** Port of the control server where it is another one. */
  controlPort?: number
}

/** Prints the line that tells a test which port the program listens on. */
export function announceReady (program: string, port: number, more: { controlPort?: number } = {}): void {
  const line: ReadyLine = { ready: true, program, port, pid: process.pid, ...more }
  process.stdout.write(`${JSON.stringify(line)}\n`)
}
