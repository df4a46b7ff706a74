/** `status`: reports the current revision and the status of every listed or given instance. */
import { readCurrentRow } from '../../configuration/apply'
import { OutcomeUnknownError, PlatformUnavailableError, UsageError } from '../../errors'
import type { ListedInstance } from '../../types'
import type { CommandFunction, CommandInput } from '../context'
import { requestStatuses, controlPorts, tryListInstances } from '../controlPorts'
import { ExitCode } from '../exitCodes'
import { instanceOption, noFurtherArguments } from '../input'
import { formatTable } from '../output'

export const runStatus: CommandFunction = async (input) => {
  noFurtherArguments(input, 0)
  const endpoints = instanceOption(input)
  if (endpoints.length === 0 && input.options.platform === undefined) throw new UsageError('status needs --platform or --instance')
  const platform = await queryPlatform(input)
  const responses = await requestStatuses(input.context, controlPorts(platform.instances ?? [], endpoints))
  const instances = responses.map(({ name, listed, value, failure }) => ({
    name: value?.instance ?? name,
    dataCentre: value?.dataCentre ?? listed?.dataCentre,
    listedState: listed?.state,
    failure,
    status: value
  }))
  const upstreams = (platform.instances ?? []).filter(({ kind }) => kind !== 'router')
  const rows = instances.map(({ name, dataCentre, listedState, status, failure }) => [
    name, dataCentre, listedState, status === undefined ? failure : status.ready === false ? `${status.state}, not ready` : status.state,
    status?.revision, status?.keyVersion, status?.incarnation
  ])
  const upstreamRows = upstreams.map(({ name, kind, dataCentre, state }) => [name, kind, dataCentre, state])
  const unresponsiveCount = instances.filter(({ status }) => status === undefined).length
  return {
    exitCode: platform.failed ? ExitCode.platformUnavailable : unresponsiveCount > 0 ? ExitCode.failed : ExitCode.ok,
    data: { platform: platform.failed ? 'unavailable' : 'available', revision: platform.revision, instances, upstreams },
    text: `current revision: ${platform.revision ?? 'unknown'}\n` +
      formatTable(['INSTANCE', 'DATA CENTRE', 'LISTED', 'STATE', 'REVISION', 'KEY VERSION', 'INCARNATION'], rows) +
      (upstreams.length === 0 ? '' : '\n' + formatTable(['UPSTREAM', 'KIND', 'DATA CENTRE', 'LISTED'], upstreamRows)) +
      (unresponsiveCount === 0 ? '' : `${unresponsiveCount} of ${instances.length} instances did not respond; their state is unknown\n`)
  }
}

interface PlatformStatus {
  failed: boolean
  revision: number | undefined
  instances: readonly ListedInstance[] | undefined
}

async function queryPlatform (input: CommandInput): Promise<PlatformStatus> {
  if (input.options.platform === undefined) return { failed: false, revision: undefined, instances: undefined }
  const platform = input.platform()
  try {
    const revision = (await readCurrentRow(platform))?.value.revision ?? 0
    const instances = await tryListInstances(platform)
    return { failed: instances === undefined, revision, instances }
  } catch (error) {
    if (!(error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError)) throw error
    return { failed: true, revision: undefined, instances: undefined }
  }
}
