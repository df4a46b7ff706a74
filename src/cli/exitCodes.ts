/** Exit codes of the operator commands. */
import {
  ConfigurationError, OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError, UsageError
} from '../errors'

export const ExitCode = {
  ok: 0,
  /** The command failed, or took effect but was not confirmed by every instance. */
  failed: 1,
  /** Unknown command or flag, missing argument. */
  usage: 2,
  /** Another operator's change was applied first; the change must be planned again. */
  conflict: 3,
  /** The file has errors. */
  invalidFile: 4,
  /** The platform is unavailable. Nothing was changed. */
  platformUnavailable: 5,
  /** The change may or may not have taken effect. */
  outcomeUnknown: 6
} as const

const CODES = [
  [UsageError, ExitCode.usage],
  [TransactionConflictError, ExitCode.conflict],
  [ConfigurationError, ExitCode.invalidFile],
  [PlatformUnavailableError, ExitCode.platformUnavailable],
  [OutcomeUnknownError, ExitCode.outcomeUnknown]
] as const

export function exitCodeOf (error: unknown): number {
  return CODES.find(([errorClass]) => error instanceof errorClass)?.[1] ?? ExitCode.failed
}
