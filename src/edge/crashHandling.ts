/** Composes what instances exchange on crashes of upstreams. */
import type { MonotonicMilliseconds, RandomSource } from '../types'
import { createCrashAttribution } from '../upstream/crashAttribution'
import { createCrashReports, type CrashReports } from './crashReports'
import { createCrashSync } from './crashSync'
import type { EdgeLog } from './events'
import { createPeerBroadcast } from './peerBroadcast'
import { PeerRequestKind, type HandlePeerRequest, type PeerLinks } from './peerLinks'
import { createTrialPermits, type TrialPermits } from './trialPermits'
import type { Peer } from './types'
import type { UpstreamDirectory } from './upstreamDirectory'

export interface CrashHandlingOptions {
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  instance: string
  dataCentre: string
  /** The other instances. */
  peers: () => readonly Peer[]
  directory: Pick<UpstreamDirectory, 'get'>
  log: EdgeLog
  /** Monotonic clock in milliseconds. */
  now: () => number
  random: RandomSource
  onFault: (error: unknown) => void
}

type CrashRequestKind =
  | typeof PeerRequestKind.crashes | typeof PeerRequestKind.crashSync | typeof PeerRequestKind.trialPermits

export interface CrashHandling {
  crashReports: CrashReports
  trialPermits: TrialPermits
  /** Probes, judges, reports and fetches what is due; called several times per second. */
  check: (now: MonotonicMilliseconds) => void
  requestHandlers: Readonly<Record<CrashRequestKind, HandlePeerRequest>>
}

export function createCrashHandling (options: CrashHandlingOptions): CrashHandling {
  const { peers, now } = options
  const attribution = createCrashAttribution()
  const trialPermits = createTrialPermits(options)
  const broadcast = createPeerBroadcast({
    ...options,
    kind: PeerRequestKind.crashes,
    onNotification: (content) => { crashReports.receive(content, now()) }
  })
  const crashReports = createCrashReports({
    ...options,
    attribution,
    broadcast: broadcast.send,
    peers: () => peers().map(({ name }) => name),
    onTrialsFailed: trialPermits.endTrials
  })
  const sync = createCrashSync({ ...options, attribution, crashReports })
  return {
    crashReports,
    trialPermits,
    check (present) {
      crashReports.check(present)
      sync.check(present)
    },
    requestHandlers: {
      [PeerRequestKind.crashes]: broadcast.handleRequest,
      [PeerRequestKind.crashSync]: sync.handleRequest,
      [PeerRequestKind.trialPermits]: trialPermits.handleRequest
    }
  }
}
