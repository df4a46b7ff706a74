import { describe, expect, it } from 'vitest'
import { ConfigurationError } from '../../errors'
import { readSettings } from '../settings'

const minimal = '[instance]\nname = router-1\ndata_centre = south\n[platform]\naddress = http://127.0.0.1:7000\n'

function findingsOf (text: string): readonly unknown[] {
  try {
    readSettings('router.ini', text)
  } catch (error) {
    if (error instanceof ConfigurationError) return error.findings
    throw error
  }
  return []
}

describe('settings', () => {
  it('fills in defaults and converts units', () => {
    const settings = readSettings('router.ini', minimal + '[limits]\nbody = 2MiB\n[keys]\nmaximum_age = 5m\n[peers]\nseeds = 10.0.0.1:81, [::1]:82 ; two\n')
    expect(settings.instance).toEqual({ name: 'router-1', dataCentre: 'south' })
    expect(settings.limits).toMatchObject({ body: 2 * 1024 * 1024, idleTime: 60_000 })
    expect(settings.keys.maximumAge).toBe(300_000)
    expect(settings.peers.seeds).toEqual([{ host: '10.0.0.1', port: 81 }, { host: '::1', port: 82 }])
    expect(settings.statsd.address).toBeUndefined()
  })

  it('lists all errors of a file in one run, with lines and suggested names', () => {
    const text = minimal + '[limit]\n[queue]\nrequsts = 5\ntokens = -1\n[shutdown]\ngrace = 5 parsecs\ngrace = 1s\nnonsense\n'
    expect(findingsOf(text)).toMatchObject([
      { line: 6, key: '[limit]', suggestion: 'limits' },
      { line: 8, key: '[queue] requsts', suggestion: 'requests' },
      { line: 9, key: '[queue] tokens' },
      { line: 11, key: '[shutdown] grace', message: expect.stringContaining('0ms to 1h') },
      { line: 12, message: 'already defined in line 11' },
      { line: 13, key: 'nonsense' }
    ])
  })

  it.each([
    ['missing name', minimal.replace('name = router-1', ''), '[instance] name'],
    ['key before the sections', 'name = x\n' + minimal, 'name'],
    ['repeated section', minimal + '[platform]\n', '[platform]'],
    ['bad port', minimal + '[listen]\ncaller = 127.0.0.1:99999\n', '[listen] caller'],
    ['customer queue limit above the total limit', minimal + '[queue]\ncustomer_requests = 3000\n', '[queue] customer_requests'],
    ['limit below grace', minimal + '[shutdown]\ngrace = 5s\nlimit = 1s\n', '[shutdown] limit'],
    ['prototype key', minimal + '[queue]\n__proto__ = 1\n', '__proto__ = 1']
  ])('rejects %s', (_, text, key) => {
    expect(findingsOf(text)).toMatchObject([{ key }])
  })
})
