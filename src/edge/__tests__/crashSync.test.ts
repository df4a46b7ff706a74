import { describe, expect, it } from 'vitest'
import { createCrashAttribution, TraitVerdictKind, type CrashAttribution } from '../../upstream/crashAttribution'
import { createCrashReports } from '../crashReports'
import { createCrashSync, type CrashSync } from '../crashSync'
import type { PeerValue } from '../peerLinks'

const PASS_MS = 100

interface SyncedInstance {
  attribution: CrashAttribution
  sync: CrashSync
}

interface Fleet {
  instances: SyncedInstance[]
  /** Bytes of all responses so far, as JSON. */
  responseBytes: () => number
  pass: (milliseconds: number) => Promise<void>
  now: () => number
}

/** Creates instances whose notifications are all lost. */
function createFleet (size: number): Fleet {
  let now = 0
  let bytes = 0
  let draws = 0
  const names = Array.from({ length: size }, (_item, index) => `router-${index}`)
  const peers = names.map((name, index) => ({ name, dataCentre: 'north', endpoint: { host: name, port: index } }))
  const instances: SyncedInstance[] = names.map((name) => {
    const attribution = createCrashAttribution()
    const crashReports = createCrashReports({
      attribution,
      broadcast () {},
      instance: name,
      peers: () => names,
      directory: { get: () => undefined },
      onTrialsFailed () {},
      now: () => now,
      log () {},
      onFault (error) { throw error }
    })
    const sync = createCrashSync({
      links: {
        isUsable: () => true,
        async request ({ port }, request: PeerValue) {
          const response = await instances[port]!.sync.handleRequest(request)
          bytes += JSON.stringify(response).length
          return response
        }
      },
      peers: () => peers.filter((peer) => peer.name !== name),
      attribution,
      crashReports,
      now: () => now,
      random () {
        draws += 1
        return draws % 7 / 7
      },
      onFault (error) { throw error }
    })
    return { attribution, sync }
  })
  return {
    instances,
    responseBytes: () => bytes,
    async pass (milliseconds) {
      for (const end = now + milliseconds; now < end; now += PASS_MS) {
        for (const { attribution, sync } of instances) {
          attribution.judge(now)
          sync.check(now)
        }
        await new Promise((resolve) => { setImmediate(resolve) })
      }
    },
    now: () => now
  }
}

function verdicts (fleet: Fleet, trait: string): string[] {
  return fleet.instances.map(({ attribution }) => attribution.verdict([trait], fleet.now()).kind)
}

const { clear, suspect, refused } = TraitVerdictKind

describe('crashes whose reports were lost', () => {
  it.each<[string, number[], string]>([
    ['one crash', [0], clear],
    ['two crashes that different instances have seen', [0, 1], suspect],
    ['three crashes that different instances have seen', [0, 1, 2], refused]
  ])('are fetched from other instances: %s', async (_title, witnesses, expected) => {
    const fleet = createFleet(3)
    await fleet.pass(500)
    for (const [index, witness] of witnesses.entries()) {
      fleet.instances[witness]!.attribution.recordCrash(`run-${index}`, new Map([['dead', 0]]), fleet.now())
      await fleet.pass(500)
    }
    await fleet.pass(10_000)
    expect(verdicts(fleet, 'dead')).toEqual([expected, expected, expected])
  })

  it('are completed, if each instance knows other traits of them', async () => {
    const fleet = createFleet(3)
    for (const witness of [0, 1, 2]) {
      for (const [index, { attribution }] of fleet.instances.entries()) {
        const trait = index === witness ? 'dead' : `other-${witness}-${index}`
        attribution.recordCrash(`run-${witness}`, new Map([[trait, 0]]), fleet.now())
      }
      await fleet.pass(500)
    }
    await fleet.pass(10_000)
    expect(verdicts(fleet, 'dead')).toEqual([refused, refused, refused])
  })

  it.each<[string, unknown]>([
    ['no list', 'x'], ['a list of other values', [5, [1, 2], ['run', 'x'], null]]
  ])('are sent in response to a malformed request: %s', async (_title, known) => {
    const fleet = createFleet(1)
    fleet.instances[0]!.attribution.recordCrash('run', new Map([['dead', 0]]), 0)
    expect(await fleet.instances[0]!.sync.handleRequest({ known })).toMatchObject({ crashes: [{ run: 'run' }] })
  })

  it('are fetched with what happened during a trial', async () => {
    const fleet = createFleet(2)
    for (const at of [0, 20]) fleet.instances[0]!.attribution.recordCrash(`run-${at}`, new Map([['dead', 0]]), at)
    await fleet.pass(3000)
    const last = fleet.instances[0]!.attribution
    last.recordCrash('run-trial', new Map([['dead', 0]]), fleet.now(), ['dead'])
    await fleet.pass(5000)
    expect(verdicts(fleet, 'dead')).toEqual([refused, refused])
  })

  it('are not fetched again, and an instance that has seen an answer does not take them up', async () => {
    const fleet = createFleet(2)
    fleet.instances[1]!.attribution.recordAnswer(['popular'], 50)
    for (const at of [10, 20]) fleet.instances[0]!.attribution.recordCrash(`run-${at}`, new Map([['popular', 0]]), at)
    await fleet.pass(10_000)
    expect(verdicts(fleet, 'popular')).toEqual([suspect, clear])
  })

  it('are sent in messages of bounded length', async () => {
    const { instances, responseBytes, pass } = createFleet(2)
    for (let run = 0; run < 100; run += 1) {
      const traits = Array.from({ length: 500 }, (_item, index): [string, number] => [`content/${run}/${index}`, 0])
      instances[0]!.attribution.recordCrash(`run-${run}`, new Map(traits), run)
    }
    await pass(100)
    expect(responseBytes()).toBeGreaterThan(10_000)
    expect(responseBytes()).toBeLessThan(500_000)
  })
})
