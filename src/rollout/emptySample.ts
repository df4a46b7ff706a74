import type { RolloutSample } from './types'

/** Creates a sample with all counts at zero. */
export function emptySample (model: string, version: string, route: string): RolloutSample {
  return {
    model,
    version,
    route,
    requests: 0,
    failures: 0,
    firstTokens: 0,
    betweenTokens: 0,
    slowFirstTokens: 0,
    slowTokens: 0,
    verySlowFirstTokens: 0,
    verySlowTokens: 0,
    firstTokenMilliseconds: 0,
    betweenTokensMilliseconds: 0,
    braked: false
  }
}
