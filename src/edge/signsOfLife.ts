/**
 * Asks engines that have been silent for a while whether they live, before their running work is started again elsewhere.
 *
 * Load pattern: an instance of a large fleet has one request at an engine at a time. Behind a queue it hears nothing from
 * the engine for longer than a lost one would be silent. Taking the engine for lost sends the prompt to the next queue,
 * tells the whole data centre to avoid the engine, and has the prompt read twice.
 */
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import type { EngineControl, UpstreamWord } from './types'
import { gaveSignOfLife, takeSilentEngines, type Upstream } from './upstreamDirectory'

export interface SignsOfLifeOptions {
  control: Pick<EngineControl, 'report'>
  upstreams: () => Iterable<Upstream>
  onWord: (upstream: Upstream, word: UpstreamWord) => void
  log: EdgeLog
  /** Milliseconds of the steady clock. */
  now: () => number
}

export interface SignsOfLife {
  /** Asks all engines of which a sign is missing; called a few times a second. */
  ask: () => void
}

export function createSignsOfLife ({ control, upstreams, onWord, log, now }: SignsOfLifeOptions): SignsOfLife {
  function ask (upstream: Upstream): void {
    let isAnswered = false
    control.report(upstream.entry, (word) => {
      isAnswered = true
      gaveSignOfLife(upstream, now())
      onWord(upstream, word)
    }).catch((error: unknown) => {
      // An answer that is no report is a sign of life all the same.
      if (!isAnswered) log(EdgeEvent.upstreamSilent, { upstream: upstream.entry.identifier, reason: reasonOf(error) })
    })
  }

  return {
    ask () {
      for (const upstream of takeSilentEngines(upstreams(), now())) ask(upstream)
    }
  }
}
