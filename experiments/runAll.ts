/** Runs many experiments in worker processes and returns the results in the order of the requests. */
import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { InternalError } from '../src/errors'
import type { RunRequest, RunResult } from './model/run'
import type { RolloutRequest, RolloutResult } from './rollout/run'

export type AnyRequest = RunRequest | RolloutRequest
export type AnyResult = RunResult | RolloutResult

export async function runAll (
  requests: readonly AnyRequest[], workers: number, onProgress: (done: number) => void
): Promise<AnyResult[]> {
  const results = new Array<AnyResult>(requests.length)
  let next = 0
  let done = 0

  const work = (child: ChildProcess): Promise<void> => new Promise((resolve, reject) => {
    let current = -1
    const sendNext = (): void => {
      if (next >= requests.length) {
        child.disconnect()
        resolve()
        return
      }
      current = next++
      child.send(requests[current]!)
    }
    child.on('message', (result: AnyResult) => {
      results[current] = result
      onProgress(++done)
      sendNext()
    })
    child.on('error', reject)
    child.on('exit', code => {
      if (code !== 0) reject(new InternalError(`experiment worker ended with exit code ${code}`))
    })
    sendNext()
  })

  const path = fileURLToPath(new URL('./worker.ts', import.meta.url))
  const children = Array.from({ length: Math.min(workers, requests.length) }, () => fork(path))
  try {
    await Promise.all(children.map(work))
  } catch (error) {
    for (const child of children) child.kill()
    throw error
  }
  return results
}

/** Draws a progress bar on standard error when that is a terminal. */
export function createProgressBar (total: number, width = 40): (done: number) => void {
  if (!process.stderr.isTTY) return () => {}
  return done => {
    const filled = Math.round(width * done / total)
    process.stderr.write(`\r[${'#'.repeat(filled)}${'.'.repeat(width - filled)}] ${done}/${total}`)
    if (done === total) process.stderr.write('\n')
  }
}
