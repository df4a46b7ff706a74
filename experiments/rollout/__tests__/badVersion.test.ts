import { describe, expect, it } from 'vitest'
import { formatRollouts, renderRollout, renderRollouts } from '../report'
import { runRolloutExperiment } from '../run'
import type { RolloutResult, VersionResult } from '../run'
import { checkRolloutTargets, rolloutRequests, summarizeRollouts } from '../summary'

const request = { preset: 'fornada', scenario: 'bad-version', policy: 'waxwingspoke', seed: 3 }

function resultWith (version: Partial<VersionResult>): RolloutResult {
  return {
    ...request,
    versions: [{
      version: 'good',
      requests: 100,
      harmed: 0,
      harmedShare: 0,
      rolledBack: false,
      secondsToRollback: null,
      finishedInTime: true,
      ...version
    }]
  }
}

describe('scenario bad-version', () => {
  // Guards against randomness or times that do not come from the seed.
  it('gives the same bytes for the same seed, and others for another seed', async () => {
    const render = async (seed: number): Promise<string> => {
      const result = await runRolloutExperiment({ ...request, seed })
      return JSON.stringify(result) + renderRollout(result)
    }
    expect(await render(3)).toBe(await render(3))
    expect(await render(4)).not.toBe(await render(3))
  })

  // Guards against baselines that are judged after all, or that never load the version.
  it('switches all traffic at once without judgement under a baseline', async () => {
    const { versions } = await runRolloutExperiment({ ...request, policy: 'round-robin' })
    expect(versions.every(({ rolledBack, secondsToRollback }) => !rolledBack && secondsToRollback === null)).toBe(true)
    expect(versions.map(({ finishedInTime }) => finishedInTime)).toEqual([null, null, null, null, true])
    expect(versions.filter(({ version }) => version !== 'good').every(({ harmedShare }) => harmedShare > 0.02)).toBe(true)
  })

  // Guards against a target that is reported as met although one seed missed it.
  it.each<[string, Partial<VersionResult>, boolean[]]>([
    ['a good version that was rolled back', { rolledBack: true }, [false, true]],
    ['a good version that did not finish in time', { finishedInTime: false }, [true, false]],
    ['a good version that finished', {}, [true, true]],
    ['harm in one seed', { version: 'fails at once', harmedShare: 0.02, rolledBack: true }, [false, true]],
    ['a bad version that stayed', { version: 'fails at once', harmedShare: 0.01 }, [true, false]]
  ])('judges %s', (_, version, expected) => {
    const others = { ...version, harmedShare: 0, rolledBack: version.version !== undefined, finishedInTime: true }
    const rows = summarizeRollouts([resultWith(others), resultWith(version), resultWith(others)])
    expect(checkRolloutTargets(rows).map(({ met }) => met)).toEqual(expected)
  })

  it('runs ten times the seeds for the good version of the policy under test only', () => {
    const requests = rolloutRequests('fornada', ['round-robin', 'waxwingspoke'], 2)
    expect(requests.filter(({ policy }) => policy === 'round-robin')).toHaveLength(2)
    expect(requests.filter(({ goodOnly }) => goodOnly)).toHaveLength(18)
  })

  // Guards against a rollback that never happened being shown as one after 0 s.
  it('shows seeds without a rollback in the table and the report', () => {
    const rows = summarizeRollouts([resultWith({})])
    expect(formatRollouts(rows)).toMatch(/good\s+│ 0\.0000 \(0\.0000-0\.0000\)\s+│ -\s+│ 0 of 1\s+│ 1 of 1/)
    expect(renderRollouts(rows).join('')).toContain('<td>-</td><td>0 of 1</td><td>1 of 1</td>')
  })
})
