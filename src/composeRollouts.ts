/** Rollout tasks of one instance: leads rollouts, sends samples to leaders, and executes the effects of its leader. */
import type { InstanceIdentity, InstanceState } from './composeState'
import { FULL_MESH_LIMIT } from './membership/membership'
import { LogEvent } from './observability/events'
import type { EventLog } from './observability/events'
import type { PeerNode } from './peer/node'
import { rankByRendezvous } from './rendezvous'
import type { PlatformClient } from './platform/types'
import { createRolloutLeader, leaderInstance } from './rollout/leader'
import { RolloutPhase } from './rollout/types'
import type { RolloutEffect, RolloutRecord } from './rollout/types'
import type { UpstreamClient } from './upstream/types'
import type { MonotonicMilliseconds, WallClockMilliseconds } from './types'

/** Number of candidate leaders for the rollouts of one model, in a fleet that is too large for a full mesh. */
const LEADER_CANDIDATES_PER_MODEL = 2

export interface RolloutTasksOptions {
  identity: InstanceIdentity
  state: InstanceState
  platform: PlatformClient
  client: Pick<UpstreamClient, 'order'>
  node: Pick<PeerNode, 'broadcast' | 'send'>
  /** Returns the live instances that are not leaving, including this one. */
  activeInstances: () => readonly string[]
  log: EventLog
  now: () => MonotonicMilliseconds
  wallClock: () => WallClockMilliseconds
}

export type RolloutTasks = ReturnType<typeof createRolloutTasks>

export function createRolloutTasks (options: RolloutTasksOptions) {
  const { identity, state, platform, client, node, log, now, wallClock } = options
  const leader = createRolloutLeader({
    platform,
    self: { instance: identity.name, incarnation: identity.incarnation },
    configuration: state.tracker.current,
    engines: () => state.registry.upstreams(now()).filter(({ kind }) => kind === 'engine'),
    mayLead (model) {
      const names = options.activeInstances()
      return names.length <= FULL_MESH_LIMIT ||
        rankByRendezvous(model, names).slice(0, LEADER_CANDIDATES_PER_MODEL).includes(identity.name)
    },
    onRecord: publishRecord
  })

  function publishRecord (record: RolloutRecord): void {
    if (!state.rollouts.applyIfNewer(record)) return
    node.broadcast({ kind: 'rolloutNotice', record })
    logRecord(record)
  }

  function logRecord (record: RolloutRecord): void {
    const event = record.phase === RolloutPhase.rolledBack
      ? LogEvent.rolloutRolledBack
      : record.phase === RolloutPhase.finished ? LogEvent.rolloutFinished : LogEvent.rolloutStep
    const { model, phase, share, toVersion, reason, leader: by } = record
    log(event, { rollout: model, model, version: toVersion, phase, share, reason, leader: by })
  }

  function sendSamples (): void {
    const samples = state.sampler.drain()
    for (const model of new Set(samples.map((sample) => sample.model))) {
      const record = state.rollouts.record(model)
      if (record === undefined) continue
      const modelSamples = samples.filter((sample) => sample.model === model)
      const leaderName = leaderInstance(record.leader)
      if (leaderName === identity.name) leader.addSamples(identity.name, modelSamples)
      else node.send(leaderName, { kind: 'rolloutSample', samples: modelSamples })
    }
  }

  function executeEffects (effects: readonly RolloutEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'record') {
        node.broadcast({ kind: 'rolloutNotice', record: effect.record })
        continue
      }
      const { engine, endpoint, command, validUntil } = effect
      // A leader whose lease has expired or that has been replaced must not send commands.
      if (now() >= validUntil || command.fencingToken < state.rollouts.fencingToken(command.model)) continue
      client.order(endpoint, command).catch((error: unknown) => {
        log(LogEvent.rolloutStep, {
          rollout: command.model,
          upstream: engine,
          version: command.version,
          order: command.kind,
          message: (error as Error).message
        }, 'warn')
        if (command.kind === 'load') leader.loadFailed(engine, command.model, command.version)
      })
    }
  }

  return {
    leader,
    sendSamples,
    /** Advances the rollouts that this instance leads. */
    lead: async (): Promise<void> => { executeEffects(await leader.tick(now(), wallClock())) }
  }
}
