import { describe, expect, it } from 'vitest'
import { createConfiguration, createCustomer, createEntry, createRoute } from '../../__tests__/fixtures'
import type { AdmittedRequest, ExchangeContext } from '../../exchangeContext'
import { RepeatRule, type EdgeRoute } from '../../types'
import { createUpstreamDirectory, recordFleetLoad } from '../../upstreamDirectory'
import { createAdmissionOrder } from '../admissionOrder'
import { createDemandExchange } from '../demandExchange'
import { createRequestOrder, type RequestOrder } from '../requestOrder'
import { RefusalReason } from '../types'

const TARGET_MS = 400
const URGENT = createRoute({ name: 'urgent', prefix: '/urgent/', priority: 0, latencyTarget: TARGET_MS })
const PATIENT = createRoute({ name: 'patient', prefix: '/patient/', priority: 2, latencyTarget: TARGET_MS })
const CALL = createRoute({ name: 'call', prefix: '/call/', repeat: RepeatRule.unsafe, services: [{ service: 'orders', weight: 1 }] })

interface Instance {
  /** Milliseconds until an engine could begin a request. */
  wait: number
  draw: number
  timeLeft: number
  isUncrowded: boolean
  /** Names of the routes whose held requests got a place. */
  places: string[]
  events: string[]
  create: (route: EdgeRoute, resumeAfter?: string) => RequestOrder
}

function createInstance (): Instance {
  const directory = createUpstreamDirectory()
  directory.replace([createEntry('engine')], false, 0)
  for (const upstream of directory.all()) recordFleetLoad(upstream, 0, 0)
  const configuration = createConfiguration({ routes: [URGENT, PATIENT, CALL] })
  const admissionOrder = createAdmissionOrder({
    directory,
    demand: createDemandExchange(),
    random: () => 0.5,
    isUncrowded: () => instance.isUncrowded,
    room: { expectedStart: () => instance.wait },
    configuration: () => configuration,
    backlog: () => ({ expectedWait: () => 0 })
  })
  const instance: Instance = {
    wait: 0,
    draw: 0.99,
    timeLeft: 4000,
    isUncrowded: false,
    places: [],
    events: [],
    create (route, resumeAfter) {
      const context = {
        admissionOrder, random: () => instance.draw, log: (event: string) => { instance.events.push(event) }
      } as unknown as ExchangeContext
      const admitted = {
        callerRequest: { identifier: 'r', tokens: { prompt: 1000, output: 10 }, resumeAfter },
        customer: createCustomer(),
        plan: { promptTokens: 1000 },
        route,
        service: route.services[0]!.service
      } as unknown as AdmittedRequest
      return createRequestOrder(context, admitted, () => instance.timeLeft, () => { instance.places.push(route.name) })
    }
  }
  return instance
}

/** Wait a little beyond the one from which requests are refused. */
const SHORT_OVERLOAD_MS = TARGET_MS * 0.1 + 20

describe('a request under overload', () => {
  it('is held while room is expected within an eighth of its target, and refused then', () => {
    const instance = createInstance()
    const order = instance.create(URGENT)
    instance.wait = SHORT_OVERLOAD_MS
    expect(order.decide(0)).toMatchObject({ admitted: false, holdFor: 20 })
    expect(order.decide(20)).toMatchObject({ admitted: false, holdFor: 20 })
    expect(order.decide(40)).toMatchObject({ admitted: false, reason: RefusalReason.share, holdFor: 0 })
    expect(instance.events).toEqual(['request.held'])
  })

  it('is admitted after a hold once there is room', () => {
    const instance = createInstance()
    const order = instance.create(URGENT)
    instance.wait = SHORT_OVERLOAD_MS
    order.decide(0)
    instance.wait = 0
    expect(order.decide(20).admitted).toBe(true)
  })

  it('is refused at once when the wait is longer than an eighth of its target', () => {
    const instance = createInstance()
    instance.wait = TARGET_MS
    expect(instance.create(URGENT).decide(0)).toMatchObject({ admitted: false, holdFor: 0 })
  })

  it('is refused at once when no engine could begin it in its remaining time', () => {
    const instance = createInstance()
    Object.assign(instance, { wait: 150, timeLeft: 120, draw: 0 })
    expect(instance.create(URGENT).decide(0)).toMatchObject({
      admitted: false, reason: RefusalReason.timeLeft, holdFor: 0
    })
  })

  it('is admitted while the engines have plenty of room', () => {
    const instance = createInstance()
    Object.assign(instance, { wait: TARGET_MS, isUncrowded: true })
    expect(instance.create(URGENT).decide(0).admitted).toBe(true)
  })

  it('is not decided on when it resumes a stream', () => {
    const instance = createInstance()
    expect(instance.create(URGENT, '7').isOrdered).toBe(false)
  })
})

describe('a place', () => {
  it('goes to a more urgent held request, and the less urgent one is held instead', () => {
    const instance = createInstance()
    instance.wait = SHORT_OVERLOAD_MS
    const urgent = instance.create(URGENT)
    urgent.decide(0)
    instance.draw = 0
    const patient = instance.create(PATIENT)
    expect(patient.decide(1)).toMatchObject({ admitted: false, holdFor: 10 })
    expect(instance.places).toEqual(['urgent'])
    expect(urgent.decide(1).admitted).toBe(true)
    expect(patient.decide(11).admitted).toBe(true)
  })

  it('does not go to a held request that has ended, or to one of another service', () => {
    const instance = createInstance()
    instance.wait = SHORT_OVERLOAD_MS
    const urgent = instance.create(URGENT)
    urgent.decide(0)
    expect(instance.create(CALL).decide(0).admitted).toBe(true)
    urgent.leave()
    instance.draw = 0
    expect(instance.create(PATIENT).decide(1).admitted).toBe(true)
    expect(instance.places).toEqual([])
  })
})
