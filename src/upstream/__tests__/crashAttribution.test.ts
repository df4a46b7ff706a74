import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createCrashAttribution, TraitVerdictKind, type CrashAttribution } from '../crashAttribution'

/** Milliseconds within which the reports of all instances on a crash arrive. */
const SETTLED_MS = 300
/** Milliseconds until a convicted trait is tried. */
const TRIAL_MS = 60_000

type Step =
  /** A crash with the traits of the requests in flight, each listed in prompt order. */
  | { at: number, crash: string[][], trials?: string[] }
  | { at: number, answer: string[] }

function play (attribution: CrashAttribution, steps: readonly Step[]): void {
  for (const [index, step] of steps.entries()) {
    if ('answer' in step) attribution.recordAnswer(step.answer, step.at)
    else {
      for (const traits of step.crash) {
        const depths = new Map(traits.map((trait, depth) => [trait, depth]))
        attribution.recordCrash(`run-${index}`, attribution.chargeable(depths, step.at), step.at, step.trials)
      }
    }
    // Judged several times per second until the next step.
    const until = steps[index + 1]?.at ?? step.at + 1000
    for (let now = step.at; now < until; now += 100) attribution.judge(now)
  }
}

function crashes (times: readonly number[], requests: (index: number) => string[][]): Step[] {
  return times.map((at, index) => ({ at, crash: requests(index) }))
}

/** Returns `count` times, each `gap` milliseconds after the one before. */
function range (count: number, gap: number): number[] {
  return Array.from({ length: count }, (_item, index) => index * gap)
}

describe('crash attribution', () => {
  it.each<[string, Step[], string[]]>([
    ['two crashes convict nothing', crashes([0, 1000], () => [['dead']]), []],
    ['the common part of three crashes', crashes([0, 1000, 2000], (index) => [['dead'], [`other${index}`]]), ['dead']],
    [
      'three crashes at the same moment count once',
      crashes([0, 40, 80], () => [['popular']]), []
    ],
    [
      'three crashes at the same moment, and one during a trial',
      [...crashes([0, 40, 80], () => [['dead']]), { at: 5000, crash: [['dead'], ['popular']], trials: ['dead'] }], ['dead']
    ],
    [
      'a crash during a trial convicts no other part',
      [...crashes([0, 40, 80], () => [['popular']]), { at: 5000, crash: [['popular'], ['tried']], trials: ['tried'] }], []
    ],
    [
      'two crashes convict nothing, even if one of them came during a trial',
      [...crashes([0], () => [['dead']]), { at: 5000, crash: [['dead']], trials: ['dead'] }], []
    ],
    ['the common part of crashes in quick succession', crashes(range(20, 100), () => [['dead']]), ['dead']],
    [
      'an answer clears a part of the crashes before it',
      [...crashes([0, 1000], () => [['popular']]), { at: 1500, answer: ['popular'] }, ...crashes([20_000], () => [['popular']])],
      []
    ],
    [
      'a part is not charged a short time after an answer',
      [{ at: 0, answer: ['first'] }, ...crashes([1000, 2000, 3000], () => [['first', 'dead']])], ['dead']
    ],
    [
      'a part that becomes deadly is convicted all the same',
      [{ at: 0, answer: ['dead'] }, ...crashes([9000, 11_000, 12_000, 13_000], () => [['dead']])], ['dead']
    ],
    [
      'a bystander at three of four crashes',
      crashes([0, 1000, 2000, 3000], (index) => index === 0 ? [['dead']] : [['dead'], ['bystander']]), ['dead']
    ],
    [
      'of parts that always come together, the most specific one after one more crash',
      crashes([0, 1000, 2000, 3000], () => [['caller', 'dead']]), ['dead']
    ],
    [
      'the less specific one at the first crash without the other',
      [...crashes([0, 1000, 2000, 3000], () => [['dead', 'book']]), ...crashes([5000], () => [['dead', 'shelf']])],
      ['dead', 'book']
    ],
    [
      'the less specific one is sound after an answer',
      [
        ...crashes([0, 1000, 2000, 3000], () => [['caller', 'dead']]),
        { at: 4000, answer: ['caller'] },
        ...crashes([20_000], () => [['caller']])
      ],
      ['dead']
    ],
    [
      'two deadly parts at once',
      crashes([0, 500, 1000, 1500, 2000, 2500], (index) => [[index % 2 === 0 ? 'dead' : 'lethal']]), ['dead', 'lethal']
    ],
    [
      'crashes that a convicted part explains are charged to no other part',
      crashes([0, 1000, 2000, 3000, 4000, 5000], (index) => [['dead'], index < 3 ? [`other${index}`] : ['late']]), ['dead']
    ]
  ])('%s', (_title, steps, convicted) => {
    const attribution = createCrashAttribution()
    play(attribution, steps)
    const found = attribution.convictions(0).map(({ trait }) => trait)
    expect(new Set(found)).toEqual(new Set(convicted))
  })

  it('marks a trait as suspect from the second crash on', () => {
    const attribution = createCrashAttribution()
    play(attribution, crashes([0], () => [['dead']]))
    expect(attribution.verdict(['dead'], 900).kind).toBe(TraitVerdictKind.clear)
    play(attribution, [{ at: 900, answer: [] }, ...crashes([1000], () => [['dead']])])
    expect(attribution.verdict(['sound', 'dead'], 2000)).toEqual({ kind: TraitVerdictKind.suspect, traits: ['dead'] })
  })

  it('counts crashes whose reports arrive after those on later crashes', () => {
    const attribution = createCrashAttribution()
    for (const at of [2000, 1000, 0]) attribution.recordCrash(`run-${at}`, new Map([['dead', 0]]), at)
    attribution.judge(3000)
    expect(attribution.convictions(3000).map(({ trait }) => trait)).toEqual(['dead'])
  })

  it('marks a trait as suspect after crashes at the same moment, until it is answered', () => {
    const attribution = createCrashAttribution()
    play(attribution, crashes([0, 40], () => [['popular']]))
    expect(attribution.verdict(['popular'], 1000)).toEqual({ kind: TraitVerdictKind.suspect, traits: ['popular'] })
    attribution.recordAnswer(['popular'], 1200)
    expect(attribution.verdict(['popular'], 1300).kind).toBe(TraitVerdictKind.clear)
  })

  it('names the suspect traits of a request, those with the most crashes first', () => {
    const attribution = createCrashAttribution()
    const inFlight = [['once', 'twice', 'often'], ['twice', 'often'], ['often', 'twice-too'], ['twice-too']]
    play(attribution, crashes([0, 30, 60, 90], (index) => [inFlight[index]!]))
    const { kind, ...verdict } = attribution.verdict(['once', 'twice', 'often', 'twice-too'], 1000)
    expect([kind, verdict]).toEqual([TraitVerdictKind.suspect, { traits: ['often', 'twice', 'twice-too'] }])
  })

  it('waits for the reports of other instances before it judges a crash', () => {
    const attribution = createCrashAttribution()
    play(attribution, crashes([0, 1000], () => [['dead'], ['bystander']]))
    attribution.recordCrash('third', new Map([['bystander', 0]]), 2000)
    attribution.judge(2100)
    attribution.recordCrash('third', new Map([['dead', 0]]), 2150)
    attribution.recordCrash('fourth', new Map([['bystander', 0]]), 2200)
    attribution.judge(2000 + SETTLED_MS)
    expect(attribution.convictions(0)).toEqual([])
    attribution.recordCrash('fourth', new Map([['dead', 0]]), 2350)
    attribution.recordCrash('fifth', new Map([['dead', 0]]), 2600)
    attribution.judge(2600 + SETTLED_MS)
    expect(attribution.convictions(0).map(({ trait }) => trait)).toEqual(['dead'])
  })

  it('tries a convicted trait after a while, later after each trial, and acquits it after an answer', () => {
    const attribution = createCrashAttribution()
    play(attribution, crashes([0, 1000, 2000], () => [['dead']]))
    const refused = attribution.verdict(['dead'], 3000)
    expect(refused).toMatchObject({ kind: TraitVerdictKind.refused, isTrialDue: false })
    const later = 3000 + TRIAL_MS
    expect(attribution.verdict(['dead'], later)).toMatchObject({ isTrialDue: true })
    attribution.startTrial(['dead'], later)
    expect(attribution.verdict(['dead'], later + 1000)).toMatchObject({ isTrialDue: false })
    // A trial that reached no upstream is made up for soon.
    expect(attribution.verdict(['dead'], later + TRIAL_MS)).toMatchObject({ isTrialDue: true })
    attribution.failTrial(['dead'], later)
    expect(attribution.verdict(['dead'], later + TRIAL_MS)).toMatchObject({ isTrialDue: false })
    expect(attribution.recordAnswer(['dead'], later + TRIAL_MS).convicted).toEqual(['dead'])
    expect(attribution.verdict(['dead'], later + TRIAL_MS).kind).toBe(TraitVerdictKind.clear)
  })

  it('adopts the convictions of another instance unless it has seen an answer since', () => {
    const [first, second, third] = [createCrashAttribution(), createCrashAttribution(), createCrashAttribution()]
    play(first, crashes([0, 1000, 2000], () => [['dead']]))
    third.recordAnswer(['dead'], 3000)
    const [conviction] = first.convictions(4000)
    expect(second.applyConviction(conviction!, 4000)).toBe(true)
    expect(third.applyConviction(conviction!, 4000)).toBe(false)
    expect(second.verdict(['dead'], 4000).kind).toBe(TraitVerdictKind.refused)
    expect(third.verdict(['dead'], 4000).kind).toBe(TraitVerdictKind.clear)
  })

  it('never convicts a trait that is answered between its crashes, whatever else crashes', () => {
    const event = fc.record({
      gap: fc.nat(3000), others: fc.array(fc.nat(5), { maxLength: 4 }), hasSound: fc.boolean()
    })
    fc.assert(fc.property(fc.array(event, { maxLength: 40 }), (events) => {
      const attribution = createCrashAttribution()
      let at = 0
      const steps = events.flatMap(({ gap, others, hasSound }): Step[] => {
        at += gap + 1
        const crash = [...others.map((other) => [`other${other}`]), ...hasSound ? [['sound']] : []]
        return [{ at, crash }, { at: at + 1, answer: hasSound ? ['sound'] : [] }]
      })
      play(attribution, steps)
      expect(attribution.convictions(at).map(({ trait }) => trait)).not.toContain('sound')
    }), { numRuns: 50 })
  })

  it('bounds what is stored, however many traits are named', () => {
    const attribution = createCrashAttribution()
    for (let index = 0; index < 30_000; index += 1) attribution.recordAnswer([`part${index}`], index)
    expect(attribution.lastAnswer('part0')).toBe(-Infinity)
    for (let run = 0; run < 150; run += 1) {
      const traits = new Map(Array.from({ length: 1000 }, (_item, index) => [`${run}/${index}`, 0]))
      attribution.recordCrash(`run-${run}`, traits, 40_000 + run)
    }
    expect(attribution.verdict(['0/0'], 50_000).kind).toBe(TraitVerdictKind.clear)
  })
})
