/** Callers that write several whole requests to a connection before its answers, in slices, and keep the connection. */
import { connect } from 'node:net'
import { pause, readAnswersWithHeads } from '../../platform/__tests__/rawCaller'
import type { SeenRequest } from './checks'
import { notYetSeen, requestHeaders, type RouterProcess, type WorldCall } from './world'

/** Milliseconds for the answers of a batch: longer than a freeze and the time limit of a stream together. */
const BATCH_LIMIT_MS = 12_000
const MAX_SLICES = 6
const SLICE_PAUSE_MS = 12

export interface Pipeline {
  /** Whether further requests may be written. */
  isOpen: () => boolean
  /** Writes these requests until the connection ends; returns those that were written whole or answered. */
  send: (calls: readonly WorldCall[]) => Promise<SeenRequest[]>
  close: () => void
}

function requestText (call: WorldCall): string {
  const lines = Object.entries(requestHeaders(call)).map(([name, value]) => `${name}: ${value}\r\n`)
  return `${call.body === undefined ? 'GET' : 'POST'} ${call.path} HTTP/1.1\r\n${lines.join('')}\r\n${call.body ?? ''}`
}

/** @param connection number of the connection, for the checks */
export function openPipeline (router: RouterProcess, connection: number, random: () => number): Pipeline {
  const socket = connect(router.caller.port, router.caller.host)
  let text = ''
  let isOpen = true
  let onChange = (): void => {}
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1')
    onChange()
  })
  socket.on('error', () => {})
  socket.on('close', () => {
    isOpen = false
    onChange()
  })

  async function write (texts: readonly string[], batch: readonly SeenRequest[]): Promise<void> {
    const whole = texts.join('')
    // A batch in one slice is as likely as one in several.
    const cutCount = Math.max(0, MAX_SLICES * (2 * random() - 1))
    const cuts = Array.from({ length: cutCount }, () => Math.floor(whole.length * random()))
    let from = 0
    for (const until of [...cuts, whole.length].sort((one, other) => one - other)) {
      if (!isOpen) return
      const now = performance.now()
      const isWritten = await new Promise<boolean>((resolve) => {
        socket.write(whole.slice(from, until), (error) => { resolve(!(error instanceof Error)) })
      })
      let end = 0
      for (const [index, seen] of batch.entries()) {
        if (end < until) seen.startedAt ||= now
        end += texts[index]!.length
        if (!isWritten || end > until || seen.isSent) continue
        seen.isSent = true
        seen.sentAt = performance.now()
      }
      from = until
      await pause(SLICE_PAUSE_MS * random())
    }
  }

  /** Returns whether all requests of the batch have their answers. */
  function read (batch: readonly SeenRequest[]): boolean {
    const answers = readAnswersWithHeads(text)
    if (answers.some(({ answer }) => answer.closes)) isOpen = false
    for (const [index, { head, answer: { status, body, isWhole } }] of answers.entries()) {
      const seen = batch[index]
      if (seen === undefined) batch.at(-1)!.echoed = 'a request that was not sent'
      else if (!seen.complete) {
        const endedAt = isWhole ? performance.now() : 0
        const echoed = /^request-id: (.*?)\r?$/im.exec(head)?.[1]
        Object.assign(seen, { status: Number(status) || 0, body, complete: isWhole, echoed, endedAt })
      }
    }
    return batch.at(-1)!.complete
  }

  return {
    isOpen: () => isOpen,
    async send (calls) {
      const batch = calls.map((call) => ({ ...notYetSeen(router, call), startedAt: 0, connection }))
      const answered = new Promise<void>((resolve) => {
        const timer = setTimeout(() => { socket.destroy() }, BATCH_LIMIT_MS)
        onChange = () => {
          if (!read(batch) && !socket.destroyed) return
          clearTimeout(timer)
          resolve()
        }
      })
      await Promise.all([write(calls.map(requestText), batch), answered])
      text = ''
      for (const seen of batch) seen.endedAt ||= performance.now()
      return batch.filter(({ isSent, status }) => isSent || status !== 0)
    },
    close: () => { socket.destroy() }
  }
}
