/** Composes what instances exchange on crashes of upstreams. */
import { createCrashAttribution } from '../upstream/crashAttribution'
import { createCrashReports, type CrashReports } from './crashReports'
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
  onFault: (error: unknown) => void
}

export interface CrashHandling {
  crashReports: CrashReports
  trialPermits: TrialPermits
  handleCrashNotification: HandlePeerRequest
}

export function createCrashHandling (options: CrashHandlingOptions): CrashHandling {
  const { peers, now } = options
  const trialPermits = createTrialPermits(options)
  const broadcast = createPeerBroadcast({
    ...options,
    kind: PeerRequestKind.crashes,
    onNotification: (content) => { crashReports.receive(content, now()) }
  })
  const crashReports = createCrashReports({
    ...options,
    attribution: createCrashAttribution(),
    broadcast: broadcast.send,
    peers: () => peers().map(({ name }) => name),
    onTrialsFailed: trialPermits.endTrials
  })
  return { crashReports, trialPermits, handleCrashNotification: broadcast.handleRequest }
}
