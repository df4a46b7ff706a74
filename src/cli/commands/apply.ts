/** `apply FILE`: applies the file as the current configuration, then reports which instances have it in force. */
import { applyConfiguration, readCurrentConfiguration } from '../../configuration/apply'
import { describeChange, planChanges } from '../../configuration/plan'
import { UsageError } from '../../errors'
import type { PlatformClient } from '../../platform/types'
import type { CommandContext, CommandFunction, CommandInput } from '../context'
import { requestStatuses, controlPorts, tryListInstances, type ControlPort } from '../controlPorts'
import { ExitCode } from '../exitCodes'
import { readConfigurationArgument, secondsOption, textOption } from '../input'

const DEFAULT_WAIT_SECONDS = 5
const POLL_MS = 250

export const runApply: CommandFunction = async (input) => {
  const { context } = input
  const wait = secondsOption(input, 'wait', DEFAULT_WAIT_SECONDS)
  const expected = expectedRevision(input)
  const desired = await readConfigurationArgument(input)
  const platform = input.platform()
  const current = await readCurrentConfiguration(platform)
  const changes = planChanges(current?.configuration, desired)
  const before = expected ?? current?.revision ?? 0
  const plan = changes.map(change => describeChange(change) + '\n').join('')
  if (changes.length === 0 && before === (current?.revision ?? 0)) {
    return { data: { applied: false, revision: before, changes }, text: `no changes; revision ${before} stays\n` }
  }
  const { revision } = await applyConfiguration(
    platform, desired, before, context.createIdentifier(), context.wallClock()
  )
  const progress = await waitForRevision(context, platform, revision, wait)
  const summary = describeProgress(progress)
  return {
    exitCode: progress.instances?.every(({ inForce }) => inForce) === true ? ExitCode.ok : ExitCode.failed,
    data: { applied: true, revision, changes, instances: progress.instances },
    text: `${plan}applied as revision ${revision}\n${summary}`
  }
}

function expectedRevision (input: CommandInput): number | undefined {
  const text = textOption(input, 'expect')
  if (text === undefined) return undefined
  if (!/^\d{1,15}$/.test(text)) throw new UsageError('--expect takes a revision number')
  return Number(text)
}

interface ApplyProgress {
  /** Undefined if the platform's instance list could not be read. */
  instances: ReadonlyArray<{ name: string, inForce: boolean, detail: string }> | undefined
}

async function waitForRevision (
  context: CommandContext, platform: PlatformClient, revision: number, wait: number
): Promise<ApplyProgress> {
  const end = context.wallClock() + wait
  let ports: readonly ControlPort[] | undefined
  for (;;) {
    const listed = await tryListInstances(platform)
    if (listed !== undefined) ports = controlPorts(listed, [])
    const responses = ports === undefined ? undefined : await requestStatuses(context, ports)
    const instances = responses?.map(({ name, value, failure }) => ({
      name,
      inForce: value !== undefined && value.revision >= revision,
      detail: value === undefined ? failure! : `revision ${value.revision}`
    }))
    if (instances?.every(({ inForce }) => inForce) === true || context.wallClock() >= end) return { instances }
    await context.sleep(POLL_MS)
  }
}

function describeProgress ({ instances }: ApplyProgress): string {
  if (instances === undefined) return 'the instance list cannot be read; it is unknown which instances have the revision in force\n'
  const confirmed = instances.filter(({ inForce }) => inForce)
  const unconfirmed = instances.filter(({ inForce }) => !inForce)
  return `in force on ${confirmed.length} of ${instances.length} listed instances\n` +
    unconfirmed.map(({ name, detail }) => `not confirmed: ${name} (${detail})\n`).join('')
}
