import { describe, expect, it } from 'vitest'
import { ExecutionStatus } from '../../types'
import {
  AttemptOutcome, endsRequest, executionStatus, findObstacle, maySendAgain, Obstacle, provesSurvival,
  type AttemptHistory
} from '../attemptDecision'
import { RepeatRule } from '../types'

const history: AttemptHistory = {
  repeat: RepeatRule.safe,
  resumable: false,
  maximumAttempts: 2,
  runs: 0,
  rejections: 0,
  cancellations: 0
}

describe('after an attempt without a whole answer, a request', () => {
  const { notRun, unknown } = ExecutionStatus
  it.each<[string, AttemptOutcome, Partial<AttemptHistory>, Obstacle | undefined, ExecutionStatus]>([
    ['is sent again if it was rejected', AttemptOutcome.notRun, { rejections: 1 }, undefined, notRun],
    ['is sent again if it was rejected and is not safe', AttemptOutcome.notRun, { repeat: RepeatRule.unsafe, maximumAttempts: 1, rejections: 1 }, undefined, notRun],
    ['fails after the maximum number of rejections', AttemptOutcome.notRun, { rejections: 3 }, Obstacle.rejections, notRun],
    ['has an unknown execution if an earlier attempt may have run', AttemptOutcome.notRun, { runs: 1, rejections: 3 }, Obstacle.rejections, unknown],
    ['is sent again if it is safe and its outcome unknown', AttemptOutcome.unknown, { runs: 1 }, undefined, unknown],
    ['fails after the maximum number of attempts of its route', AttemptOutcome.unknown, { runs: 2 }, Obstacle.attempts, unknown],
    ['is not sent again if it is not safe and its outcome unknown', AttemptOutcome.unknown, { repeat: RepeatRule.unsafe, runs: 1 }, Obstacle.notRepeatable, unknown],
    ['is not sent again if its stream may not be resumed', AttemptOutcome.unknown, { repeat: RepeatRule.stream, runs: 1 }, Obstacle.notRepeatable, unknown],
    ['is sent again if its stream may be resumed', AttemptOutcome.unknown, { repeat: RepeatRule.stream, resumable: true, runs: 1 }, undefined, unknown],
    ['is sent again if it is safe, after an error response', AttemptOutcome.failed, { runs: 1 }, undefined, unknown],
    ['is not sent again after the error response of its last attempt', AttemptOutcome.failed, { runs: 2 }, Obstacle.attempts, unknown],
    ['is not sent again if it is not safe, after an error response', AttemptOutcome.failed, { repeat: RepeatRule.unsafe, runs: 1 }, Obstacle.notRepeatable, unknown]
  ])('%s', (_title, outcome, overrides, obstacle, execution) => {
    expect(findObstacle(outcome, { ...history, ...overrides })).toBe(obstacle)
    expect(executionStatus({ ...history, ...overrides })).toBe(execution)
  })
})

describe('a request without an attempt in progress', () => {
  const passing = new Set<Obstacle>([
    Obstacle.rejections, Obstacle.retryAllowance, Obstacle.noneUsable, Obstacle.noneListed, Obstacle.keyUnconfirmed,
    // Another upstream may be listed in an allowed region, and the operator may end the evacuation.
    Obstacle.homes, Obstacle.evacuated
  ])

  it.each(Object.values(Obstacle))('ends because of %s, unless the obstacle passes and the request is owed an answer', (obstacle) => {
    expect(endsRequest(obstacle, false)).toBe(true)
    expect(endsRequest(obstacle, true)).toBe(!passing.has(obstacle))
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
})
