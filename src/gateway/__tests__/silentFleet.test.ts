import { describe, expect, it } from 'vitest'
import {
  answers, complete, longestOverlap, MAXIMUM_OVERLAP_MS, now, refuses, startFleet, WHOLE_TEXT
} from './scriptedEngines'
import type { CompletionPiece } from '../completionTypes'
import type { Behaviour } from './scriptedEngines'

const STREAMS = 24
const PLACES = 10
const SILENCE_MS = 1200
/** Time in milliseconds from the first request to the silence, so that it comes in mid-stream. */
const SILENCE_DELAY_MS = 50

/** Refuses what is beyond its places, and answers nothing and refuses nothing during the silence. */
function crowded (silence: { from: number, until: number }): Behaviour {
  let running = 0
  return async (call) => {
    const wait = async (): Promise<void> => {
      while (now() >= silence.from && now() < silence.until) await new Promise((resolve) => setTimeout(resolve, 10))
    }
    await wait()
    if (running >= PLACES) {
      await refuses(call)
      return
    }
    running += 1
    call.response.on('close', () => { running -= 1 })
    await answers(call, wait)
  }
}

interface Ending {
  text: string
  error: unknown
}

async function readToEnd (pieces: AsyncIterable<CompletionPiece>): Promise<Ending> {
  const ending: Ending = { text: '', error: undefined }
  try {
    for await (const piece of pieces) ending.text += piece.text
  } catch (error) {
    ending.error = error
  }
  return ending
}

describe('many streams at engines that fall silent at the same time and are full', () => {
  // Guards against begun streams that are cut when the others refuse or the retry budget is used up by takeovers.
  it.each([
    ['with retries', 100],
    ['with few retries', 3],
    ['without retries', 0]
  ])('are whole, or refused before they have begun, %s', async (_, retryTokens) => {
    const silence = { from: Infinity, until: Infinity }
    const fleet = await startFleet({
      engines: { e0: crowded(silence), e1: crowded(silence), e2: crowded(silence) },
      retryTokens,
      whole: 8000,
      maximumWait: 5000
    })
    silence.from = now() + SILENCE_DELAY_MS
    silence.until = silence.from + SILENCE_MS
    const endings = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
      return await readToEnd(complete(fleet.execute, undefined, `r${index}`))
    }))
    expect(now()).toBeGreaterThan(silence.until)
    const notWhole = endings.filter(({ text }) => text !== WHOLE_TEXT)
    expect(notWhole.length).toBeLessThanOrEqual(STREAMS - PLACES)
    for (const ending of notWhole) expect(ending).toMatchObject({ text: '', error: { execution: 'not_run' } })
    for (let index = 0; index < STREAMS; index++) {
      const runs = fleet.runs.filter(({ request }) => request === `r${index}`)
      expect(runs.filter(({ firstChunkAt }) => firstChunkAt !== undefined).length).toBeLessThanOrEqual(4)
      expect(longestOverlap(runs)).toBeLessThanOrEqual(MAXIMUM_OVERLAP_MS)
    }
  })
})
