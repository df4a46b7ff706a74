/** Questions to the control ports of router instances. An instance that does not answer is reported as such. */
import { z } from 'zod'
import { formatEndpoint } from '../http/endpoint'
import { OutcomeUnknownError, PlatformUnavailableError } from '../errors'
import type { PlatformClient } from '../platform/types'
import type { Endpoint, KeyRecord, ListedInstance } from '../types'
import { RollbackReason, RolloutPhase } from '../rollout/types'
import type { CommandContext } from './context'

/** Milliseconds for one exchange with a control port. */
export const CONTROL_TIMEOUT_MS = 2000

/** The parts of an instance's rollout record that reports need. */
const rolloutSchema = z.looseObject({
  model: z.string(),
  fromVersion: z.string().optional(),
  toVersion: z.string(),
  phase: z.enum(RolloutPhase),
  share: z.number(),
  reason: z.enum(RollbackReason).optional(),
  reasonRoute: z.string().optional(),
  finishBy: z.number().optional(),
  deadlineMissed: z.boolean(),
  revision: z.number()
})

const statusSchema = z.looseObject({
  instance: z.string(),
  incarnation: z.number(),
  dataCentre: z.string().optional(),
  state: z.string(),
  ready: z.boolean().optional(),
  revision: z.number(),
  keyVersion: z.number(),
  quota: z.array(
    z.looseObject({ customer: z.string(), rate: z.number(), capacity: z.number() })
  ).optional().catch(undefined),
  rollouts: z.array(rolloutSchema).optional().catch(undefined)
})
export type InstanceStatus = z.infer<typeof statusSchema>

/** A control port to ask, with the name from the platform's list when it comes from there. */
export interface ControlPort {
  name: string
  endpoint: Endpoint
  listed: ListedInstance | undefined
}

export type ControlAnswer<Value> = ControlPort & (
  { value: Value, failure: undefined } | { value: undefined, failure: string }
)

/** Ports of the routers in the platform's list, and the given ones. */
export function controlPorts (
  instances: readonly ListedInstance[], given: readonly Endpoint[]
): readonly ControlPort[] {
  const ports = instances.filter(instance => instance.kind === 'router')
    .map((listed): ControlPort => ({ name: listed.name, endpoint: listed.endpoint, listed }))
  const known = new Set(ports.map(port => formatEndpoint(port.endpoint)))
  const extra = given.filter(endpoint => !known.has(formatEndpoint(endpoint)))
  return [...ports, ...extra.map(endpoint => ({ name: formatEndpoint(endpoint), endpoint, listed: undefined }))]
}

/** The platform's list, or undefined when the platform does not answer. */
export async function tryListInstances (platform: PlatformClient): Promise<readonly ListedInstance[] | undefined> {
  try {
    return (await platform.listInstances()).instances
  } catch (error) {
    if (error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError) return undefined
    throw error
  }
}

export async function askStatuses (
  context: CommandContext, ports: readonly ControlPort[]
): Promise<ReadonlyArray<ControlAnswer<InstanceStatus>>> {
  return await askAll(context, ports, 'GET', '/control/status', undefined, body => statusSchema.parse(JSON.parse(body)))
}

/** Hands keys to the instances; an answer means that the instance has taken them in. */
export async function sendKeys (
  context: CommandContext, ports: readonly ControlPort[], records: readonly KeyRecord[]
): Promise<ReadonlyArray<ControlAnswer<true>>> {
  return await askAll(context, ports, 'POST', '/control/keys', JSON.stringify(records), () => true)
}

async function askAll<Value> (
  context: CommandContext, ports: readonly ControlPort[], method: 'GET' | 'POST', path: string, body: string | undefined,
  read: (body: string) => Value
): Promise<ReadonlyArray<ControlAnswer<Value>>> {
  return await Promise.all(ports.map(async (port): Promise<ControlAnswer<Value>> => {
    try {
      const answer = await context.http(port.endpoint, method, path, body, CONTROL_TIMEOUT_MS)
      if (answer.status !== 200) return { ...port, value: undefined, failure: `answered with status ${answer.status}` }
      return { ...port, value: read(answer.body), failure: undefined }
    } catch (error) {
      const failure = error instanceof z.ZodError || error instanceof SyntaxError ? 'answered unintelligibly' : 'no answer'
      return { ...port, value: undefined, failure }
    }
  }))
}
