/** Schemas of all peer messages. Unknown fields are dropped, so that later versions can add fields. */
import { z } from 'zod'
import { RolloutPhase, RollbackReason } from '../rollout/types'
import type { RolloutRecord, RolloutSample } from '../rollout/types'
import type {
  CustomerConfiguration, KeyRecord, ListedInstance, ModelConfiguration, RouteConfiguration
} from '../types'
import type {
  CrashNotice, Greeting, Heartbeat, LoanReplyMessage, LoanRequestMessage, PeerMessage, SnapshotReply
} from './messages'

/** Requires a schema for each field of a type. A field without one would be dropped from every received message. */
type FieldsOf<Type> = Record<keyof Type, z.ZodType>

/** Maximum length of a name, identifier or hash in characters. */
const MAXIMUM_NAME_LENGTH = 512

/**
 * Creates an array schema that stops at the first invalid item. `z.array` reports every invalid item, which took 3 s
 * for a frame with a million of them.
 */
function failFastArray<Item> (item: z.ZodType<Item>) {
  return z.array(z.unknown()).transform((values, context): Item[] => {
    const items: Item[] = []
    for (const [index, value] of values.entries()) {
      const result = item.safeParse(value)
      if (!result.success) {
        const issue = result.error.issues[0]
        context.addIssue({ code: 'custom', message: issue?.message ?? '', path: [index, ...issue?.path ?? []] })
        return z.NEVER
      }
      items.push(result.data)
    }
    return items
  })
}

/** Work in tokens by upstream name. Validation stops at the first invalid entry, as in `failFastArray`. */
const workByName = z.custom<Record<string, number>>((value) => {
  if (typeof value !== 'object' || value === null || Object.getPrototypeOf(value) !== Object.prototype) return false
  return Object.entries(value).every(
    ([key, work]) => key.length <= MAXIMUM_NAME_LENGTH && amount.safeParse(work).success
  )
}, 'expected an object with names as keys and non-negative numbers as values')

const name = z.string().max(MAXIMUM_NAME_LENGTH)
const amount = z.number().nonnegative()
const count = z.int().nonnegative()

const endpoint = z.object({ host: name, port: z.int().min(0).max(65_535) })

const customer = z.object({
  name, rate: amount, burst: amount, weight: amount
} satisfies FieldsOf<CustomerConfiguration>)

const model = z.object({
  name, version: name, finishBy: z.number().optional(), maximumOutputTokens: count, parallelLoads: count
} satisfies FieldsOf<ModelConfiguration>)

const route = z.object({
  name,
  path: z.string(),
  service: name,
  methods: failFastArray(name),
  idempotentMethods: failFastArray(name),
  open: z.boolean(),
  cost: amount
} satisfies FieldsOf<RouteConfiguration>)

const configuration = z.object({
  revision: count,
  configuration: z.object({
    dataCentres: failFastArray(z.object({ name, weight: amount })),
    customers: failFastArray(customer),
    models: failFastArray(model),
    routes: failFastArray(route)
  })
})

const key = z.object({
  hash: name, customer: name, state: z.enum(['granted', 'withdrawn']), version: count
} satisfies FieldsOf<KeyRecord>)

const listedInstance = z.object({
  name,
  kind: z.enum(['router', 'engine', 'service']),
  dataCentre: name,
  endpoint,
  peerEndpoint: endpoint.optional(),
  state: z.enum(['live', 'leaving']),
  service: name.optional()
} satisfies FieldsOf<ListedInstance>)

const crashNotice = z.object({
  kind: z.literal('crashNotice'), fingerprint: name, upstream: name, incarnation: z.number(), age: amount
} satisfies FieldsOf<CrashNotice>)

const rolloutRecord = z.object({
  model: name,
  revision: count,
  fromVersion: name.optional(),
  toVersion: name,
  phase: z.enum(RolloutPhase),
  share: z.number().min(0).max(1),
  fencingToken: count,
  step: count,
  leader: name,
  finishBy: z.number().optional(),
  startedAt: z.number(),
  phaseSince: z.number(),
  reason: z.enum(RollbackReason).optional(),
  reasonRoute: name.optional(),
  deadlineMissed: z.boolean()
} satisfies FieldsOf<RolloutRecord>)

const rolloutSample = z.object({
  model: name,
  version: name,
  route: name,
  requests: count,
  failures: count,
  firstTokens: count,
  betweenTokens: count,
  slowFirstTokens: count,
  slowTokens: count,
  verySlowFirstTokens: count,
  verySlowTokens: count,
  firstTokenMilliseconds: amount,
  betweenTokensMilliseconds: amount,
  braked: z.boolean()
} satisfies FieldsOf<RolloutSample>)

const loanTerms = { identifier: name, customer: name, rate: amount, capacity: amount, tokens: amount, duration: amount }

/** Schemas by message kind. */
export const messageSchemas = {
  greeting: z.object({
    kind: z.literal('greeting'), protocol: count, instance: name.min(1), incarnation: z.number(), dataCentre: name, endpoint
  } satisfies FieldsOf<Greeting>),
  heartbeat: z.object({
    kind: z.literal('heartbeat'),
    state: z.enum(['live', 'leaving']),
    revision: count,
    keyVersion: count,
    work: workByName,
    clock: name
  } satisfies FieldsOf<Heartbeat>),
  snapshotRequest: z.object({ kind: z.literal('snapshotRequest'), identifier: count }),
  snapshotReply: z.object({
    kind: z.literal('snapshotReply'),
    identifier: count,
    configuration: configuration.optional(),
    keys: failFastArray(key),
    crashes: failFastArray(crashNotice),
    rollouts: failFastArray(rolloutRecord),
    instances: z.object({ instances: failFastArray(listedInstance), asOf: z.number() }).optional()
  } satisfies FieldsOf<SnapshotReply>),
  configurationNotice: z.object({ kind: z.literal('configurationNotice'), configuration }),
  keyNotice: z.object({ kind: z.literal('keyNotice'), keys: failFastArray(key) }),
  crashNotice,
  loanRequest: z.object({
    kind: z.literal('loanRequest'), ...loanTerms, renews: name.optional(), surplusOnly: z.boolean().optional()
  } satisfies FieldsOf<LoanRequestMessage>),
  loanReply: z.object({ kind: z.literal('loanReply'), ...loanTerms } satisfies FieldsOf<LoanReplyMessage>),
  rolloutSample: z.object({ kind: z.literal('rolloutSample'), samples: failFastArray(rolloutSample) }),
  rolloutNotice: z.object({ kind: z.literal('rolloutNotice'), record: rolloutRecord })
} satisfies Record<PeerMessage['kind'], z.ZodType>

/** Schema of all messages, discriminated by `kind`. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  messageSchemas.greeting,
  messageSchemas.heartbeat,
  messageSchemas.snapshotRequest,
  messageSchemas.snapshotReply,
  messageSchemas.configurationNotice,
  messageSchemas.keyNotice,
  messageSchemas.crashNotice,
  messageSchemas.loanRequest,
  messageSchemas.loanReply,
  messageSchemas.rolloutSample,
  messageSchemas.rolloutNotice
])
