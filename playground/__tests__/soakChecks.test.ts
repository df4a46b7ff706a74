import { describe, expect, it } from 'vitest'
import { SOAK_CHECKS, type SeenRequest, type SeenRun, type SoakHistory } from '../soak/checks'

const request = (values: Partial<SeenRequest> = {}): SeenRequest => ({
  identifier: 'r1',
  kind: 'safe',
  key: 'k1',
  instance: 'router-1#1',
  startedAt: 1000,
  endedAt: 1100,
  isSent: true,
  status: 200,
  complete: true,
  body: 'whole',
  echoed: 'r1',
  left: false,
  path: '/lookup/1',
  ...values
})
const run = (values: Partial<SeenRun> = {}): SeenRun => ({
  identifier: 'r1',
  upstream: 'u1',
  process: 'u1#1',
  startedAt: 1010,
  endedAt: 1090,
  key: 'k1',
  scope: 'small.1',
  tokens: 110,
  path: '/lookup/1',
  isFaulted: false,
  ...values
})
const history = (values: Partial<SoakHistory> = {}): SoakHistory => ({
  requests: [request()],
  runs: [run()],
  orders: [{ upstream: 'e1#1', holder: 'router-1', token: 4 }, { upstream: 'e1#1', holder: 'router-2', token: 5 }],
  limits: [{ process: 'u1#1', perSecond: 1, from: 0, until: 20_000 }],
  disturbances: [],
  ends: [],
  revoked: new Map([['old', 1000]]),
  quota: { key: 'k1', window: 8000, tokens: 200 },
  stopped: new Map([['router-1#1', 1050]]),
  killed: new Map(),
  isolated: new Set(['walled']),
  configurations: [{ instance: 'router-1#1', at: 1, atLeast: 4 }, { instance: 'router-1#1', at: 2, atMost: 4 }],
  crashes: new Map([['/lookup/dead', [0, 10, 20]]]),
  wholeStream: 'stream',
  wholeAnswer: 'whole',
  ...values
})

/** 12 requests in a second at an upstream that takes one per second, after its instance was told. */
const late = Array.from({ length: 12 }, (_unused, index) => ({ identifier: `late-${index}`, startedAt: 5000 + 80 * index }))
const BEYOND_LIMIT: Partial<SoakHistory> = {
  requests: [request(), ...late.map((values) => request({ ...values, endedAt: 6000 }))],
  runs: [run(), ...late.map((values) => run({ ...values, key: 'other' }))]
}

const CUT_STREAM = request({ kind: 'stream', complete: false, body: 'str' })

/** A router was asked to stop when the answer of the request was due. */
const STOPPED = new Map([['router-1#1', 1100]])

function deadlyRuns (count: number, startedAt: number): SeenRun[] {
  return Array.from({ length: count }, () => run({ path: '/lookup/dead', startedAt }))
}

describe('the checks of the soak', () => {
  it('find nothing where all promises are kept', () => {
    expect(Object.values(SOAK_CHECKS).flatMap((check) => check(history()))).toEqual([])
  })

  it.each<[string, string, number]>([
    ['passes', 'str: still here\n\neam', 0],
    ['does not excuse a missing event', 'st: still here\n\neam', 1],
    ['does not excuse a part of a comment', 'str: still heream', 1]
  ])('a stream with a comment of its upstream %s', (_title, body, violations) => {
    const requests = [request({ kind: 'stream', body })]
    expect(SOAK_CHECKS.whole!(history({ requests }))).toHaveLength(violations)
  })

  it.each<[string, Partial<SoakHistory>]>([
    ['the upstream', { disturbances: [{ subject: 'u1#1', from: 4500, until: 4800 }] }],
    ['the instance', { disturbances: [{ subject: 'router-1#1', from: 100, until: 200 }] }]
  ])('excuse requests beyond a limit when %s was disturbed', (_title, values) => {
    expect(SOAK_CHECKS.requestLimits!(history({ ...BEYOND_LIMIT, ...values }))).toEqual([])
  })

  it.each<[string, Partial<SoakHistory>]>([
    ['as many as are allowed', { runs: deadlyRuns(3, 3021) }],
    ['while instances are told', { runs: deadlyRuns(9, 3000) }],
    ['after a disturbance of the instance', {
      runs: deadlyRuns(9, 3021), disturbances: [{ subject: 'router-1#1', from: 100, until: 200 }]
    }]
  ])('excuse deadly requests: %s', (_title, values) => {
    expect(SOAK_CHECKS.deadlyRequests!(history(values))).toEqual([])
  })

  it.each<[string, Partial<SeenRequest>, Partial<SoakHistory>, number]>([
    ['whose instance was asked to stop before', {}, {}, 1],
    ['whose instance was at the end of its grace period', { endedAt: 5050 }, {}, 0],
    ['whose instance was killed before', {}, { killed: new Map([['router-1#1', 1099]]) }, 0],
    ['whose instance was killed later', {}, { killed: new Map([['router-1#1', 1101]]) }, 1],
    ['that its caller left', { left: true }, {}, 0],
    ['that did not begin', { status: 0 }, {}, 0],
    ['at its time limit', { startedAt: 0, endedAt: 4000 }, {}, 0],
    ['before its time limit', { startedAt: 0, endedAt: 3999 }, {}, 1],
    ['that its upstream broke', {}, { runs: [run({ identifier: 'r1' }), run({ isFaulted: true })] }, 0],
    ['beside a broken run of another request', {}, { runs: [run(), run({ identifier: 'r2', isFaulted: true })] }, 1],
    ['with a disturbed connection', {}, { disturbances: [{ subject: 'u1#1', from: 1000, until: 1020 }] }, 0],
    ['whose instance was frozen', {}, { disturbances: [{ subject: 'router-1#1', from: 1000, until: 1020 }] }, 0],
    ['whose instance was frozen before', {}, { disturbances: [{ subject: 'router-1#1', from: 900, until: 1000 }] }, 1],
    ['whose upstream was disturbed before', {}, { disturbances: [{ subject: 'u1#1', from: 900, until: 1000 }] }, 1],
    ['whose upstream was disturbed after', {}, { disturbances: [{ subject: 'u1#1', from: 1100, until: 1200 }] }, 1],
    ['beside a disturbed connection of another one', {}, { disturbances: [{ subject: 'u2#1', from: 0, until: 9000 }] }, 1]
  ])('count the cuts of a stream %s', (_title, values, others, violations) => {
    const requests = [{ ...CUT_STREAM, ...values }]
    expect(SOAK_CHECKS.begunStreams!(history({ requests, ...others }))).toHaveLength(violations)
  })

  it.each<[string, Partial<SeenRequest>, Partial<SoakHistory>, number]>([
    ['that ran', { isSent: false }, {}, 1],
    ['that was sent', {}, { runs: [] }, 1],
    ['whose connection did not open', { isSent: false }, { runs: [] }, 0],
    ['without a whole plain answer', { status: 200 }, {}, 1],
    ['whose stream has begun, which another check counts', { kind: 'stream', status: 200 }, {}, 0],
    ['that its caller left', { left: true }, {}, 0],
    ['that ran after the request to stop', { startedAt: 1060 }, { stopped: new Map([['router-1#1', 1050]]) }, 1],
    ['that was sent to an instance that stops', {}, { runs: [], stopped: new Map([['router-1#1', 1100]]) }, 0],
    ['at the end of the grace period', { endedAt: 5050 }, { stopped: new Map([['router-1#1', 1050]]) }, 0],
    ['whose instance was killed', {}, { killed: new Map([['router-1#1', 1100]]) }, 0],
    ['whose instance was killed later', {}, { killed: new Map([['router-1#1', 1101]]) }, 1],
    ['whose instance was frozen', {}, { disturbances: [{ subject: 'router-1#1', from: 1000, until: 1020 }] }, 0],
    ['whose upstream was disturbed', {}, { disturbances: [{ subject: 'u1#1', from: 1000, until: 1020 }] }, 1]
  ])('count a connection that ended for a request %s', (_title, values, others, violations) => {
    const requests = [request({ status: 0, complete: false, body: '', ...values })]
    expect(SOAK_CHECKS.answered!(history({ requests, stopped: new Map(), ...others }))).toHaveLength(violations)
  })

  it.each<[string, Partial<SeenRequest>, Partial<SeenRequest>, Partial<SoakHistory>, number]>([
    ['that ran', {}, {}, {}, 1],
    ['that did not run', {}, {}, { runs: [] }, 1],
    ['that was not written whole', { isSent: false }, {}, {}, 0],
    ['with a part of a plain answer', { status: 200 }, {}, {}, 1],
    ['whose stream has begun, which another check counts', { kind: 'stream', status: 200 }, {}, {}, 0],
    ['behind a refusal', {}, { status: 404, body: '' }, {}, 1],
    ['whose upstream broke off its stream', { kind: 'stream' }, {}, { runs: [run({ isFaulted: true })] }, 0],
    ['whose upstream broke off a plain answer', {}, {}, { runs: [run({ isFaulted: true })] }, 1],
    ['whose stream was sound', { kind: 'stream' }, {}, { runs: [run({ identifier: 'r0', isFaulted: true }), run()] }, 1],
    ['behind one without an answer', {}, { status: 0, complete: false, isSent: false }, {}, 1],
    ['behind a stream that was cut', {}, CUT_STREAM, {}, 0],
    ['behind a stream that was cut on another connection', {}, { ...CUT_STREAM, connection: 8 }, {}, 1],
    ['that crossed the close of a router that stops', { sentAt: 901 }, {}, { runs: [], stopped: STOPPED }, 0],
    ['that ran at a router that stops', { sentAt: 901 }, {}, { stopped: STOPPED }, 1],
    ['long before the close of a router that stops', { sentAt: 900 }, {}, { runs: [], stopped: STOPPED }, 1],
    ['before the close of a router that does not stop', { sentAt: 1099 }, {}, { runs: [] }, 1],
    ['at the end of the grace period', { endedAt: 5050 }, {}, { stopped: new Map([['router-1#1', 1050]]) }, 0],
    ['whose instance was killed', {}, {}, { killed: new Map([['router-1#1', 1100]]) }, 0],
    ['whose instance was frozen', {}, {}, { disturbances: [{ subject: 'router-1#1', from: 1000, until: 1020 }] }, 0],
    ['whose upstream was disturbed', {}, {}, { disturbances: [{ subject: 'u1#1', from: 1000, until: 1020 }] }, 1]
  ])('count a request on a shared connection %s', (_title, values, before, others, violations) => {
    const requests = [
      request({ identifier: 'r0', connection: 7, ...before }),
      request({ connection: 7, status: 0, complete: false, body: '', ...values })
    ]
    const found = SOAK_CHECKS.pipelined!(history({ requests, stopped: new Map(), ...others }))
    expect(found).toHaveLength(violations)
    for (const text of found) expect(text).toContain('r1 on connection 7 ')
  })

  it.each<[string, Partial<SeenRequest>, Partial<SoakHistory>, number]>([
    ['before its time limit', { endedAt: 2499 }, {}, 1],
    ['at its time limit', { endedAt: 2500 }, {}, 0],
    ['that may run once only', { kind: 'unsafe' }, {}, 0],
    ['that crashes upstreams', { path: '/lookup/dead' }, {}, 0],
    ['that its upstream broke', {}, { runs: [run(), run({ isFaulted: true })] }, 0],
    ['beside a broken run elsewhere', {}, { runs: [run(), run({ identifier: 'r2', process: 'u2#1', isFaulted: true })] }, 1],
    ['after a broken run there', {}, { runs: [run(), run({ identifier: 'r2', startedAt: 900, endedAt: 20, isFaulted: true })] }, 0],
    ['after an older broken run there', {}, { runs: [run(), run({ identifier: 'r2', startedAt: 0, endedAt: 10, isFaulted: true })] }, 1],
    ['at the end of an upstream of its service', {}, { ends: [{ subject: 'orders-1#1', from: 1050, until: 1050 }] }, 0],
    ['at the end of another upstream', {}, { ends: [{ subject: 'engine-1#1', from: 1050, until: 1050 }] }, 1],
    ['beside a disturbed connection', {}, { disturbances: [{ subject: 'orders-1#1', from: 900, until: 1010 }] }, 0],
    ['long after a disturbed connection', {}, { disturbances: [{ subject: 'orders-1#1', from: -10, until: 0 }] }, 1],
    ['whose instance was frozen', {}, { disturbances: [{ subject: 'router-1#1', from: 1000, until: 1020 }] }, 0]
  ])('count a 502 to a request %s', (_title, values, others, violations) => {
    const requests = [request({ status: 502, body: '', ...values })]
    expect(SOAK_CHECKS.safeFailures!(history({ requests, ...others }))).toHaveLength(violations)
  })

  it.each<{ name: keyof typeof SOAK_CHECKS, broken: Partial<SoakHistory> }>([
    { name: 'whole', broken: { requests: [request({ body: 'who' })] } },
    { name: 'begunStreams', broken: { requests: [CUT_STREAM] } },
    { name: 'own', broken: { requests: [request({ echoed: 'r2' })] } },
    { name: 'own', broken: { requests: [request({ status: 502, echoed: undefined })] } },
    { name: 'answered', broken: { requests: [request({ status: 0, complete: false, body: '' })] } },
    { name: 'safeFailures', broken: { requests: [request({ status: 502, body: '' })] } },
    { name: 'trueRefusals', broken: { requests: [request({ status: 408, body: '' })] } },
    { name: 'once', broken: { requests: [request({ kind: 'unsafe' })], runs: [run(), run({ upstream: 'u2' })] } },
    { name: 'trueRefusals', broken: { requests: [request({ status: 503, body: '' })] } },
    {
      name: 'noConvictions',
      broken: { requests: [request({ status: 503, body: '{"error":{"code":"crashes_upstreams"}}' })], runs: [] }
    },
    { name: 'deadlyRequests', broken: { runs: deadlyRuns(4, 3021) } },
    { name: 'quota', broken: { runs: [run(), run({ identifier: 'r2', startedAt: 9000 })] } },
    { name: 'revoked', broken: { runs: [run({ key: 'old', startedAt: 6001 })] } },
    { name: 'requestLimits', broken: BEYOND_LIMIT },
    { name: 'drain', broken: { requests: [request({ status: 0, complete: false, body: '' })] } },
    {
      name: 'configuration',
      broken: { configurations: [{ instance: 'router-1#1', at: 1, atLeast: 4 }, { instance: 'router-1#1', at: 2, atMost: 3 }] }
    },
    {
      name: 'oneGiver',
      broken: { orders: [{ upstream: 'e1#1', holder: 'router-1', token: 4 }, { upstream: 'e2#1', holder: 'router-2', token: 4 }] }
    },
    {
      name: 'oneGiver',
      broken: { orders: [{ upstream: 'e1#1', holder: 'router-1', token: 5 }, { upstream: 'e1#1', holder: 'router-2', token: 4 }] }
    },
    { name: 'salts', broken: { runs: [run(), run({ identifier: 'r2', key: 'walled' })] } },
    { name: 'afterLeaving', broken: { requests: [request({ left: true })], runs: [run({ endedAt: 2101 })] } }
  ])('fail when the promise is broken: $name', ({ name, broken }) => {
    expect(SOAK_CHECKS[name]!(history(broken))).toHaveLength(1)
  })
})
