/** `keys`: grants (`grant CUSTOMER`), withdraws (`withdraw HASH|KEY`) and lists (`list`) keys. */
import { readCurrentConfiguration } from '../../configuration/apply'
import { nearestName } from '../../configuration/nearestName'
import { grantKey, listKeys, withdrawKey } from '../../customer/keyStore'
import { hashKey, KEY_BYTES } from '../../customer/keys'
import { NotFoundError, OutcomeUnknownError, PlatformUnavailableError, UsageError, type RouterError } from '../../errors'
import type { KeyRecord } from '../../types'
import type { CommandFunction, CommandInput } from '../context'
import { controlPorts, sendKeys, tryListInstances } from '../controlPorts'
import { ExitCode, exitCodeOf } from '../exitCodes'
import { instanceOption, noFurtherArguments, requiredArgument, secondsOption, textOption } from '../input'
import { formatTable } from '../output'

const DEFAULT_WAIT_SECONDS = 5
const RETRY_MS = 250
/**
 * Placeholder customer of a record that is sent to instances while the platform is not available.
 * The hash alone identifies the key.
 */
const UNKNOWN_CUSTOMER = 'unknown'

const ACTIONS: Readonly<Record<string, CommandFunction>> = { grant, withdraw, list }

export const runKeys: CommandFunction = async (input) => {
  const name = requiredArgument(input, 0, 'grant|withdraw|list')
  const action = Object.hasOwn(ACTIONS, name) ? ACTIONS[name] : undefined
  if (action === undefined) {
    const suggestion = nearestName(name, Object.keys(ACTIONS))
    throw new UsageError(`unknown command 'keys ${name}'${suggestion === undefined ? '' : ` (did you mean '${suggestion}'?)`}`)
  }
  return await action({ ...input, arguments: input.arguments.slice(1) })
}

async function grant (input: CommandInput) {
  const { context } = input
  const customer = requiredArgument(input, 0, 'CUSTOMER')
  noFurtherArguments(input, 1)
  const platform = input.platform()
  const names = (await readCurrentConfiguration(platform))?.configuration.customers.map(({ name }) => name) ?? []
  if (!names.includes(customer)) {
    const suggestion = nearestName(customer, names)
    throw new NotFoundError(`no customer '${customer}' in the current configuration` +
      (suggestion === undefined ? '' : ` (did you mean '${suggestion}'?)`))
  }
  const { key, record } = await grantKey(
    platform, customer, context.randomBytes(KEY_BYTES), context.createIdentifier(), context.wallClock()
  )
  return { data: { key, ...record }, text: `key (shown only now): ${key}\nhash: ${record.hash}\n` }
}

async function list (input: CommandInput) {
  noFurtherArguments(input, 0)
  const records = await listKeys(input.platform(), textOption(input, 'customer'))
  const rows = records.map(({ hash, customer, state, version }) => [hash, customer, state, version])
  return { data: records, text: records.length === 0 ? 'no keys\n' : formatTable(['HASH', 'CUSTOMER', 'STATE', 'VERSION'], rows) }
}

async function withdraw (input: CommandInput) {
  const { context } = input
  const argument = requiredArgument(input, 0, 'HASH|KEY')
  noFurtherArguments(input, 1)
  const hash = /^[0-9a-f]{64}$/.test(argument) ? argument : hashKey(argument)
  const endpoints = instanceOption(input)
  const end = context.wallClock() + secondsOption(input, 'wait', DEFAULT_WAIT_SECONDS)
  const stored = await withdrawOnPlatform(input, hash, endpoints.length > 0)
  const record: KeyRecord = stored.record ?? { hash, customer: UNKNOWN_CUSTOMER, state: 'withdrawn', version: 0 }
  const listed = stored.queried ? await tryListInstances(input.platform()) : undefined
  let pending = controlPorts(listed ?? [], endpoints)
  const confirmed: string[] = []
  let failures: ReadonlyArray<{ name: string, failure: string }> = []
  // Only a response to the record itself confirms the withdrawal: a high key version may result from a later change.
  for (;;) {
    const responses = await sendKeys(context, pending, [record])
    confirmed.push(...responses.filter(({ value }) => value === true).map(({ name }) => name))
    failures = responses.flatMap(({ name, failure }) => failure === undefined ? [] : [{ name, failure }])
    pending = pending.filter(({ name }) => failures.some(other => other.name === name))
    if (pending.length === 0 || context.wallClock() >= end) break
    await context.sleep(RETRY_MS)
  }
  const listKnown = listed !== undefined || !stored.queried
  const complete = failures.length === 0 && listKnown
  return {
    exitCode: stored.error !== undefined ? exitCodeOf(stored.error) : complete ? ExitCode.ok : ExitCode.failed,
    data: {
      hash, stored: stored.record !== undefined, error: stored.error?.code, listKnown, confirmed, unconfirmed: failures
    },
    text: [
      `hash: ${hash}`,
      stored.record === undefined ? `not stored on the platform: ${stored.error?.message ?? 'no --platform given'}` : 'withdrawn on the platform',
      ...(listKnown ? [] : ['the instance list cannot be read; other instances may not have confirmed']),
      `confirmed: ${confirmed.length === 0 ? 'none' : confirmed.join(', ')}`,
      ...failures.map(({ name, failure }) => `not confirmed: ${name} (${failure})`),
      ''
    ].join('\n')
  }
}

interface StoreResult {
  queried: boolean
  record: KeyRecord | undefined
  error: RouterError | undefined
}

/** Withdraws the key on the platform. With `--instance`, a missing or unavailable platform does not fail the command. */
async function withdrawOnPlatform (input: CommandInput, hash: string, direct: boolean): Promise<StoreResult> {
  if (direct && input.options.platform === undefined) return { queried: false, record: undefined, error: undefined }
  try {
    const { context } = input
    const record = await withdrawKey(input.platform(), hash, context.createIdentifier(), context.wallClock())
    return { queried: true, record, error: undefined }
  } catch (error) {
    const tolerable = error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError
    if (!direct || !tolerable) throw error
    return { queried: true, record: undefined, error }
  }
}
