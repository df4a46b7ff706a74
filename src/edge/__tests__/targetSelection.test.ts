import { describe, expect, it } from 'vitest'
import { FREE_CROSSING } from '../dataCentres/crossing'
import type { AdmittedRequest, ExchangeContext } from '../exchangeContext'
import { createTargetSelection, type TargetSelection } from '../targetSelection'
import { RepeatRule } from '../types'
import { createUpstreamDirectory, recordAttemptStart, type UpstreamDirectory } from '../upstreamDirectory'
import { createEntry, createRoute, UNBOUNDED_ROOM, UNKNOWN_SPEEDS } from './fixtures'

const NAMES = ['a', 'b', 'c', 'd', 'e']
const NOW = { steady: 0, wall: 0 }
const LATENCY_TARGET = 400

interface Selection { targets: TargetSelection, directory: UpstreamDirectory }

/** @param limited names of the upstreams that have named a request limit */
function createSelection (limited: readonly string[], priority = 0): Selection {
  const directory = createUpstreamDirectory()
  directory.replace(NAMES.map((name) => createEntry(name)), false, 0)
  const context = {
    directory,
    dataCentre: 'north',
    outdatedWeightsLimit: 12_000,
    random: () => 0,
    loadingEngines: () => new Set(),
    engineSpeeds: UNKNOWN_SPEEDS,
    engineRoom: UNBOUNDED_ROOM,
    crossing: FREE_CROSSING,
    weightsRollout: { target: () => undefined, supersededFor: () => 0 },
    serviceRollouts: { eligible: (_service: string, upstreams: unknown) => upstreams, hasTargetVersion: () => false },
    sendPermits: { isNeeded: ({ identifier }: { identifier: string }) => limited.includes(identifier) }
  } as unknown as ExchangeContext
  const admitted = {
    callerRequest: { model: undefined },
    route: createRoute({ repeat: RepeatRule.stream, latencyTarget: LATENCY_TARGET, priority }),
    customer: undefined,
    service: 'engines',
    plan: { prefixKey: undefined, promptTokens: 0, sharedTokens: 0 }
  } as unknown as AdmittedRequest
  return { targets: createTargetSelection(context, admitted, () => 10_000), directory }
}

/** Denies the permits of all limited upstreams that are selected, and returns the names of all selected ones. */
function selectWithoutPermits ({ targets }: Selection, limited: readonly string[]): Array<string | undefined> {
  const selected: Array<string | undefined> = []
  for (;;) {
    const name = targets.select(NOW)?.upstream.entry.identifier
    selected.push(name)
    const upstream = targets.select(NOW)?.upstream
    if (upstream === undefined || !limited.includes(upstream.entry.identifier)) return selected
    targets.recordDenial(upstream, 5000, NOW.steady)
  }
}

describe('the selection of an upstream', () => {
  it.each([
    ['one upstream', ['a'], 2],
    ['all upstreams but one', ['a', 'b', 'c', 'd'], 4]
  ])('ends at one without a limit when the permits of %s are denied', (_title, limited, count) => {
    const selected = selectWithoutPermits(createSelection(limited), limited)
    expect(selected).toHaveLength(count)
    expect(NAMES.filter((name) => !limited.includes(name))).toContain(selected.at(-1))
  })

  it('ends without an upstream when three permits are denied and all upstreams have a limit', () => {
    const selection = createSelection(NAMES)
    const selected = selectWithoutPermits(selection, NAMES)
    expect(selected).toHaveLength(4)
    expect(selected.at(-1)).toBeUndefined()
    expect(selection.targets.failureReason()).toBe('no upstream is usable within its request limit')
  })

  it.each([
    ['does not wait for a permit while an upstream has no limit', NAMES.slice(1), 0, 0],
    ['waits for half of the time to the target if all have one', NAMES, 0, LATENCY_TARGET / 2],
    ['waits less if it is less urgent', NAMES, 1, LATENCY_TARGET / 4]
  ])('%s', (_title, limited, priority, expected) => {
    expect(createSelection(limited, priority).targets.select(NOW)?.maximumPermitWait).toBe(expected)
  })

  it('tries an upstream again after a second at most, since its limit may have been raised', () => {
    const { targets, directory } = createSelection(NAMES)
    targets.recordDenial(directory.get('a')!, 15_000, 0)
    expect(directory.get('a')!.nextPermitAt).toBe(1000)
  })

  it('passes over upstreams whose next permit is too far away', () => {
    const { targets, directory } = createSelection(NAMES)
    for (const name of NAMES.slice(1)) directory.get(name)!.nextPermitAt = LATENCY_TARGET / 2 + 1
    expect(targets.select(NOW)?.upstream.entry.identifier).toBe('a')
  })
})

describe('a request that makes no progress', () => {
  /** Milliseconds without a byte after which an upstream counts as quiet. */
  const QUIET = { steady: 350, wall: 350 }

  it.each<[string, readonly string[], readonly string[], boolean]>([
    ['could move to an upstream that is not quiet', NAMES.slice(0, 4), [], true],
    ['could not move while all others are quiet as well', NAMES, [], false],
    ['could move to a quiet upstream that has shown to be alive', NAMES, ['e'], true]
  ])('%s', (_title, quiet, alive, expected) => {
    const { targets, directory } = createSelection([])
    targets.markTried(directory.get('a')!)
    for (const name of quiet) recordAttemptStart(directory.get(name)!, 0, 0)
    for (const name of alive) directory.get(name)!.aliveUntil = QUIET.steady + 1
    expect(targets.canMove(QUIET)).toBe(expected)
    const target = targets.select(QUIET)?.upstream.entry.identifier
    if (expected) expect(target).toBe('e')
    else expect(target).not.toBe('a')
  })
})

describe('an upstream that had the request', () => {
  const A = 'a'
  it.each<[string, (targets: TargetSelection, directory: UpstreamDirectory) => void, number, boolean]>([
    ['is excluded', () => {}, 60_000, false],
    ['is excluded for a pause after it turned the request away', (targets, directory) => {
      targets.markTurnedAway(directory.get(A)!, 1, 0)
    }, 249, false],
    ['may get it again after the pause', (targets, directory) => {
      targets.markTurnedAway(directory.get(A)!, 1, 0)
    }, 250, true],
    ['is excluded for longer each time', (targets, directory) => {
      targets.markTurnedAway(directory.get(A)!, 2, 0)
    }, 499, false],
    ['may get it again if the request can go on nowhere else', (targets) => { targets.permitAgain() }, 0, true],
    ['stays excluded for its pause then', (targets, directory) => {
      targets.markTurnedAway(directory.get(A)!, 1, 0)
      targets.permitAgain()
    }, 249, false]
  ])('%s', (_title, change, steady, expected) => {
    const { targets, directory } = createSelection([])
    for (const name of NAMES) targets.markTried(directory.get(name)!)
    change(targets, directory)
    for (const name of NAMES.slice(1)) targets.markTried(directory.get(name)!)
    expect(targets.select({ steady, wall: steady })?.upstream.entry.identifier).toBe(expected ? A : undefined)
  })
})
