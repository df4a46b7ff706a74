/** Requests to the control ports of router instances. Failed requests are returned as failures of the instance. */
import { z } from 'zod'
import { formatEndpoint } from '../http/endpoint'
import { OutcomeUnknownError, PlatformUnavailableError } from '../errors'
import type { PlatformClient } from '../platform/types'
import type { Endpoint, KeyRecord, ListedInstance } from '../types'
import { RollbackReason, RolloutPhase } from '../rollout/types'
import type { CommandContext } from './context'

/** Timeout of a request to a control port, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2000

/** Fields of an instance's rollout record that reports use. */
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

/** Control port of an instance, named after its entry in the platform's list or, without one, after its address. */
export interface ControlPort {
  name: string
  endpoint: Endpoint
  listed: ListedInstance | undefined
}

export type ControlResponse<Value> = ControlPort & (
  { value: Value, failure: undefined } | { value: undefined, failure: string }
)

/** Returns the control ports of the listed routers and of the given endpoints, without duplicates. */
export function controlPorts (
  instances: readonly ListedInstance[], endpoints: readonly Endpoint[]
): readonly ControlPort[] {
  const ports = instances.filter(instance => instance.kind === 'router')
    .map((listed): ControlPort => ({ name: listed.name, endpoint: listed.endpoint, listed }))
  const listedAddresses = new Set(ports.map(port => formatEndpoint(port.endpoint)))
  const unlistedEndpoints = endpoints.filter(endpoint => !listedAddresses.has(formatEndpoint(endpoint)))
  return [
    ...ports, ...unlistedEndpoints.map(endpoint => ({ name: formatEndpoint(endpoint), endpoint, listed: undefined }))
  ]
}

/** Reads the platform's instance list. Resolves to undefined if the platform does not respond. */
export async function tryListInstances (platform: PlatformClient): Promise<readonly ListedInstance[] | undefined> {
  try {
    return (await platform.listInstances()).instances
  } catch (error) {
    if (error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError) return undefined
    throw error
  }
}

export async function requestStatuses (
  context: CommandContext, ports: readonly ControlPort[]
): Promise<ReadonlyArray<ControlResponse<InstanceStatus>>> {
  return await requestAll(context, ports, 'GET', '/control/status', undefined, body => statusSchema.parse(JSON.parse(body)))
}

/** Sends key records to the instances. A successful response confirms that the instance has applied them. */
export async function sendKeys (
  context: CommandContext, ports: readonly ControlPort[], records: readonly KeyRecord[]
): Promise<ReadonlyArray<ControlResponse<true>>> {
  return await requestAll(context, ports, 'POST', '/control/keys', JSON.stringify(records), () => true)
}

async function requestAll<Value> (
  context: CommandContext, ports: readonly ControlPort[], method: 'GET' | 'POST', path: string, body: string | undefined,
  parseBody: (body: string) => Value
): Promise<ReadonlyArray<ControlResponse<Value>>> {
  return await Promise.all(ports.map(async (port): Promise<ControlResponse<Value>> => {
    try {
      const response = await context.http(port.endpoint, method, path, body, CONTROL_TIMEOUT_MS)
      if (response.status !== 200) return { ...port, value: undefined, failure: `response status ${response.status}` }
      return { ...port, value: parseBody(response.body), failure: undefined }
    } catch (error) {
      const failure = error instanceof z.ZodError || error instanceof SyntaxError ? 'malformed response' : 'no answer'
      return { ...port, value: undefined, failure }
    }
  }))
}
