import { describe, expect, it } from 'vitest'
import { ExecutionStatus } from '../../types'
import {
  AttemptOutcome, decideNextStep, isAccepted, maySendAgain, provesSurvival, type AttemptHistory
} from '../attemptDecision'
import { RepeatRule } from '../types'

const history: AttemptHistory = {
  repeat: RepeatRule.safe,
  resumable: false,
  maximumAttempts: 2,
  runs: 0,
  rejections: 0,
  cancellations: 0,
  responseStarted: false
}

describe('decideAfter', () => {
  it.each<[string, AttemptOutcome, Partial<AttemptHistory>, unknown]>([
    ['retries a rejected request', AttemptOutcome.notRun, { rejections: 1 }, { kind: 'retry' }],
    ['retries a rejected unsafe request', AttemptOutcome.notRun, { repeat: RepeatRule.unsafe, maximumAttempts: 1, rejections: 1 }, { kind: 'retry' }],
    ['fails after the maximum number of rejections', AttemptOutcome.notRun, { rejections: 3 }, { kind: 'giveUp', execution: ExecutionStatus.notRun }],
    ['reports an unknown execution when an earlier attempt may have run', AttemptOutcome.notRun, { runs: 1, rejections: 3 }, { kind: 'giveUp', execution: ExecutionStatus.unknown }],
    ['retries a safe request with an unknown outcome', AttemptOutcome.unknown, { runs: 1 }, { kind: 'retry' }],
    ['fails a safe request after the maximum number of attempts of its route', AttemptOutcome.unknown, { runs: 2 }, { kind: 'giveUp', execution: ExecutionStatus.unknown }],
    ['does not retry an unsafe request with an unknown outcome', AttemptOutcome.unknown, { repeat: RepeatRule.unsafe, runs: 1 }, { kind: 'giveUp', execution: ExecutionStatus.unknown }],
    ['does not retry a stream that is not resumable', AttemptOutcome.unknown, { repeat: RepeatRule.stream, runs: 1 }, { kind: 'giveUp', execution: ExecutionStatus.unknown }],
    ['resumes an interrupted stream on a resumable route', AttemptOutcome.unknown, { repeat: RepeatRule.stream, resumable: true, runs: 1, responseStarted: true }, { kind: 'retry' }],
    ['closes the connection of an interrupted stream that is not resumable', AttemptOutcome.unknown, { repeat: RepeatRule.stream, runs: 1, responseStarted: true }, { kind: 'breakOff' }],
    ['retries a safe request after an error response', AttemptOutcome.failed, { runs: 1 }, { kind: 'retry' }],
    ['forwards the error response of the last attempt', AttemptOutcome.failed, { runs: 2 }, { kind: 'answer' }],
    ['forwards the error response to an unsafe request', AttemptOutcome.failed, { repeat: RepeatRule.unsafe, runs: 1 }, { kind: 'answer' }]
  ])('%s', (_title, outcome, overrides, expected) => {
    expect(decideNextStep(outcome, { ...history, ...overrides })).toEqual(expected)
  })
})

describe('a complete response', () => {
  it.each([
    [200, true], [404, true], [408, false], [421, false], [429, false], [500, false], [503, false], [504, false]
  ])('with status %i shows that the upstream survived the request: %s', (status, expected) => {
    expect(provesSurvival(status)).toBe(expected)
  })
})

describe('a request without progress', () => {
  it.each<[string, Partial<AttemptHistory>, boolean]>([
    ['may be sent again if it is safe', { runs: 1 }, true],
    ['may be sent again if its stream may be resumed', { repeat: RepeatRule.stream, resumable: true, runs: 1 }, true],
    ['stays where it is if its stream may not be resumed', { repeat: RepeatRule.stream, runs: 1 }, false],
    ['stays where it is if it is not safe', { repeat: RepeatRule.unsafe, runs: 1 }, false],
    ['stays where it is after the attempts of its route', { runs: 2 }, false],
    ['may be sent once more for an attempt that was cancelled', { runs: 2, cancellations: 1 }, true],
    ['stays where it is after that', { runs: 3, cancellations: 1 }, false],
    ['stays where it is after two such runs', { runs: 4, cancellations: 9 }, false],
    ['may be turned away once more for an attempt that was cancelled', { runs: 1, rejections: 3, cancellations: 1 }, true],
    ['stays where it is after three refusals', { runs: 1, rejections: 3 }, false]
  ])('%s', (_title, overrides, expected) => {
    expect(maySendAgain({ ...history, ...overrides })).toBe(expected)
  })

  it.each<[string, RepeatRule, number | undefined, boolean]>([
    ['is not accepted before the upstream has received it', RepeatRule.stream, undefined, false],
    ['is not accepted while a refusal may follow', RepeatRule.stream, 801, false],
    ['is accepted 200 ms after the upstream has received it', RepeatRule.stream, 800, true],
    ['stays at both upstreams if it is safe', RepeatRule.safe, 0, false]
  ])('%s', (_title, repeat, connectedAt, expected) => {
    expect(isAccepted(repeat, connectedAt, 1000)).toBe(expected)
  })
})
