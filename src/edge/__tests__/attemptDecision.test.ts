import { describe, expect, it } from 'vitest'
import { ExecutionStatus } from '../../types'
import { AttemptEnd, decideAfter, type AttemptHistory } from '../attemptDecision'
import { RepeatRule } from '../types'

const history: AttemptHistory = {
  repeat: RepeatRule.safe, resumable: false, maximumAttempts: 2, runs: 0, rejections: 0, begun: false
}

describe('decideAfter', () => {
  it.each<[string, AttemptEnd, Partial<AttemptHistory>, unknown]>([
    ['a rejected request goes elsewhere', AttemptEnd.notRun, { rejections: 1 }, { kind: 'retry' }],
    ['a rejected unsafe request too', AttemptEnd.notRun, { repeat: RepeatRule.unsafe, maximumAttempts: 1, rejections: 1 }, { kind: 'retry' }],
    ['not for ever', AttemptEnd.notRun, { rejections: 3 }, { kind: 'giveUp', execution: ExecutionStatus.notRun }],
    ['a rejection after a run does not prove that nothing ran', AttemptEnd.notRun, { runs: 1, rejections: 3 }, { kind: 'giveUp', execution: ExecutionStatus.unknown }],
    ['a lost safe request is repeated', AttemptEnd.unknown, { runs: 1 }, { kind: 'retry' }],
    ['within the attempts of its route', AttemptEnd.unknown, { runs: 2 }, { kind: 'giveUp', execution: ExecutionStatus.unknown }],
    ['a lost unsafe request is not repeated', AttemptEnd.unknown, { repeat: RepeatRule.unsafe, runs: 1 }, { kind: 'giveUp', execution: ExecutionStatus.unknown }],
    ['nor is a stream that cannot be resumed', AttemptEnd.unknown, { repeat: RepeatRule.stream, runs: 1 }, { kind: 'giveUp', execution: ExecutionStatus.unknown }],
    ['a broken stream goes on where it may', AttemptEnd.unknown, { repeat: RepeatRule.stream, resumable: true, runs: 1, begun: true }, { kind: 'retry' }],
    ['a stream that cannot go on is broken off', AttemptEnd.unknown, { repeat: RepeatRule.stream, runs: 1, begun: true }, { kind: 'breakOff' }],
    ['a failed safe request is repeated', AttemptEnd.failed, { runs: 1 }, { kind: 'retry' }],
    ['its last failure goes to the caller', AttemptEnd.failed, { runs: 2 }, { kind: 'answer' }],
    ['an unsafe failure goes to the caller', AttemptEnd.failed, { repeat: RepeatRule.unsafe, runs: 1 }, { kind: 'answer' }]
  ])('%s', (_title, end, values, expected) => {
    expect(decideAfter(end, { ...history, ...values })).toEqual(expected)
  })
})
