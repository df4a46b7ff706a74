/** Carries out moves of services to new versions of their software, under the lease, and tells the other instances. */
import { createRolloutJudge, type RolloutJudge } from '../rollout/judge'
import type { RolloutSample } from '../rollout/types'
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import type { LeaseTask } from './leaseTask'
import { NEW_VERSION, OLD_VERSION, type MoveSampler } from './moveSampler'
import { askIfReachable, PeerQuestion, type PeerLinks, type PeerValue } from './peerLinks'
import type { MoveFacts, MoveNews, MoveStep, ServiceMoves } from './serviceMoves'
import { MoveState, type Instant, type Peer, type Store, type StoreRecords } from './types'
import type { UpstreamDirectory } from './upstreamDirectory'

/** Milliseconds between looks at whether there is something to do; news of the shares goes out as often. */
const TICK_MS = 250
/** Milliseconds between judgements; a judgement takes what all instances counted since the one before. */
const JUDGE_MS = 1000
/** Milliseconds for a peer's counts. */
const SAMPLE_TIMEOUT_MS = 200
/** Milliseconds for which the others are told more after the last move has ended. */
const PUBLISH_AFTER_MS = 1500
/** Milliseconds until a status that could not be read or written is tried again. */
const RETRY_MS = 500

export interface ServiceMovesTaskOptions {
  store: Pick<Store, 'read' | 'commit'>
  records: Pick<StoreRecords, 'tables' | 'moveStatusKey' | 'readMoveStatus' | 'writeMoveStatus'>
  lease: Pick<LeaseTask, 'token'>
  moves: ServiceMoves
  sampler: MoveSampler
  directory: UpstreamDirectory
  links: Pick<PeerLinks, 'ask' | 'isUsable'>
  /** The other instances. */
  peers: () => readonly Peer[]
  publish: (news: MoveNews) => void
  isStopping: () => boolean
  log: EdgeLog
  now: () => Instant
}

export interface ServiceMovesTask {
  /** Reads what has become of a move; called when its request is not news. */
  readStatus: (service: string) => void
  /** Answers the holder of the lease with the counts of this instance. */
  answer: (question: PeerValue) => Promise<PeerValue>
  stop: () => void
}

interface LedMove {
  judge: RolloutJudge
  /** Version of the stored status; 0 when there is none. */
  statusVersion: number
}

function isSampleList (value: unknown): value is RolloutSample[] {
  return Array.isArray(value) && (value as Array<Partial<RolloutSample>>).every((sample) => (
    typeof sample.route === 'string' && typeof sample.version === 'string' &&
    Object.values(sample).every((field) => typeof field !== 'number' || Number.isFinite(field))
  ))
}

export function startServiceMovesTask (options: ServiceMovesTaskOptions): ServiceMovesTask {
  const { store, records, lease, moves, sampler, directory, links, log, now } = options
  /** Moves that this instance carries out, by service. */
  const led = new Map<string, LedMove>()
  const busy = new Set<string>()
  let judgedAt = -Infinity
  let pendingAt = -Infinity
  let retryAt = -Infinity
  let wasHeld = false

  /** Takes in the stored status; returns the version of its row. */
  async function refresh (service: string): Promise<number> {
    const { rows } = await store.read(records.tables.statuses)
    const row = rows.find(({ key }) => key === records.moveStatusKey(service))
    const status = row?.value === undefined ? undefined : records.readMoveStatus(service, row.value)
    moves.takeStatus(service, status, row?.version ?? 0)
    return row?.version ?? 0
  }

  async function writeStatus (service: string, state: MoveState): Promise<void> {
    const move = led.get(service)
    const request = moves.requestOf(service)
    if (move === undefined || request === undefined) return
    const key = records.moveStatusKey(service)
    const result = await store.commit({
      table: records.tables.statuses,
      conditions: [{ key, version: move.statusVersion }],
      writes: [{ key, value: records.writeMoveStatus({ service, toVersion: request.toVersion, state }) }],
      removals: []
    })
    if (!result.committed) {
      // Another instance has written meanwhile; the move is taken up from what it wrote.
      led.delete(service)
      return
    }
    move.statusVersion = result.version
    if (state !== MoveState.running) moves.reported(service)
    log(EdgeEvent.moveReported, { service, toVersion: request.toVersion, state })
  }

  /** Begins to carry out a move, or to report its end, unless that is stored already. */
  async function takeUp (service: string): Promise<void> {
    const statusVersion = await refresh(service)
    if (!moves.pending().includes(service)) return
    const judge = createRolloutJudge({ fromVersion: OLD_VERSION, toVersion: NEW_VERSION })
    led.set(service, { judge, statusVersion })
    moves.takeUp(service, now().steady)
    await writeStatus(service, moves.endOf(service) ?? MoveState.running)
  }

  /** Requests follow at once, also while the store is away; the report is tried until it is stored. */
  async function end (service: string, state: MoveState): Promise<void> {
    moves.end(service, state)
    moves.news().forEach(options.publish)
    await writeStatus(service, state)
  }

  function oldInFlight (service: string): number {
    return directory.ofService(service)
      .filter((upstream) => !moves.isNew(upstream))
      .reduce((sum, { inFlight }) => sum + inFlight, 0)
  }

  /** Asks all instances for their counts; returns the requests on the old version, undefined when one is not known. */
  async function gather (service: string, judge: RolloutJudge): Promise<number | undefined> {
    judge.add('', sampler.drain(service))
    const answers = await Promise.all(options.peers().map(async ({ name, endpoint }) => {
      const question = { kind: PeerQuestion.moveCounts, service }
      const { samples, oldInFlight: count } = await askIfReachable(links, endpoint, question, SAMPLE_TIMEOUT_MS) ?? {}
      if (!isSampleList(samples) || typeof count !== 'number') return undefined
      judge.add(name, samples)
      return count
    }))
    return answers.reduce<number | undefined>((sum, count) => (
      sum === undefined || count === undefined ? undefined : sum + count
    ), oldInFlight(service))
  }

  async function take (step: MoveStep, service: string, { newUpstreams, oldUpstreams }: MoveFacts): Promise<void> {
    if (step.kind === 'share') {
      moves.setShare(service, step.share, now().steady)
      log(EdgeEvent.moveShare, { service, share: step.share, newUpstreams, oldUpstreams })
      return
    }
    if (step.kind === 'complete') return await end(service, MoveState.completed)
    log(EdgeEvent.moveTakenBack, { service, reason: step.reason })
    await end(service, MoveState.takenBack)
  }

  async function advance (service: string): Promise<void> {
    const move = led.get(service)
    if (move === undefined) return await takeUp(service)
    const ended = moves.endOf(service)
    if (ended !== undefined) return await writeStatus(service, ended)
    const { judge } = move
    const running = await gather(service, judge)
    const verdict = judge.evaluate()
    const present = now()
    if (lease.token() === undefined) return
    const usable = directory.usable(service, present.steady)
    const newUpstreams = usable.filter((upstream) => moves.isNew(upstream)).length
    const facts: MoveFacts = {
      fault: verdict === undefined ? undefined : `${verdict.reason} on route ${verdict.route}`,
      clear: judge.clear(),
      oldInFlight: running,
      oldUpstreams: usable.length - newUpstreams,
      newUpstreams
    }
    const step = moves.nextStep(service, facts, present.steady)
    if (step !== undefined) await take(step, service, facts)
  }

  function publish (present: number): void {
    moves.renew(present)
    moves.news().forEach(options.publish)
  }

  function tick (): void {
    const present = now().steady
    const holds = lease.token() !== undefined
    if (wasHeld && !holds) {
      led.clear()
      moves.reset()
    }
    const pending = moves.pending()
    // Before anything is told: nobody may go by a share that has lapsed.
    if (holds && !wasHeld) for (const service of pending) moves.takeUp(service, present)
    wasHeld = holds
    if (pending.length > 0) pendingAt = present
    if (!holds || options.isStopping()) return
    if (present - pendingAt < PUBLISH_AFTER_MS) publish(present)
    if (present < retryAt || present - judgedAt < JUDGE_MS) return
    judgedAt = present
    for (const service of pending) {
      if (busy.has(service)) continue
      busy.add(service)
      advance(service).catch((error: unknown) => {
        // A write with an unknown outcome: the next look reads what has become of it.
        led.delete(service)
        retryAt = now().steady + RETRY_MS
        log(EdgeEvent.moveFailed, { service, reason: reasonOf(error) })
      }).finally(() => { busy.delete(service) })
    }
  }

  const timer = setInterval(tick, TICK_MS)
  return {
    readStatus (service) {
      refresh(service).catch((error: unknown) => {
        log(EdgeEvent.moveFailed, { service, reason: reasonOf(error) })
      })
    },
    async answer ({ service }) {
      const name = typeof service === 'string' ? service : ''
      return { samples: sampler.drain(name), oldInFlight: oldInFlight(name) }
    },
    stop: () => { clearInterval(timer) }
  }
}
