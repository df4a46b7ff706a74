import neostandard from 'neostandard'

const adapterImports = ['node:http', 'node:net', 'undici', 'pino', 'hot-shots', 'cac']

/** Decisions of the edge; its other modules own sockets, timers and tasks. */
const edgeDecisions = [
  'admission', 'attemptDecision', 'backlog', 'cacheStoreIndex', 'crashGuard', 'requestTraits', 'engineLoad',
  'eventBoundary', 'freshness', 'instanceShares', 'loadShedding', 'rolloutSampler', 'placement', 'prefixDemand',
  'promptPlan', 'quotaShare', 'requestLimits', 'requestPacer', 'retryAllowance', 'routeTable', 'serviceChoice',
  'serviceRollouts', 'storeLease', 'tableHistory', 'targetSelection', 'tokenRequests', 'upstreamDirectory',
  'weightsRollout',
  'coldStart/coldLimits', 'coldStart/permitRules', 'coldStart/warmPreference', 'dataCentres/crossing',
  'dataCentres/crossingCosts', 'dataCentres/overflow', 'dataCentres/prefixPopulation', 'dataCentres/reachability',
  'engineRoom/engineRoom', 'engineRoom/engineUse', 'engineRoom/useCodec', 'engineSpeed/engineSpeeds',
  'engineSpeed/speedCodec', 'engineSpeed/speedEstimate', 'residency/destinations', 'residency/evacuations',
  'residency/reachableDirectory', 'storeEra/keptRows', 'storeEra/storeEra', 'weightsLoading/loadSchedule'
].map((name) => `src/edge/${name}.ts`)

/** Decisions of the admission order; its other modules wire them into the requests. */
const orderDecisions = [
  'crowding', 'demand', 'demandExchange', 'groups', 'hold', 'holdQueue', 'orderDecision', 'overload', 'placeCounts', 'placeDecision', 'refusalResponse', 'requestShare', 'retryTime',
  'shares', 'timeBudgets'
].map((name) => `src/edge/admissionOrder/${name}.ts`)

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**', 'experiments/results/**'] }),
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'standins/**/*.ts', 'playground/**/*.ts', 'experiments/**/*.ts'],
    rules: {
      '@stylistic/max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreComments: true }],
      // A constant object and the type of its values share one name.
      '@typescript-eslint/no-redeclare': 'off',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'no-throw-literal': 'error',
      '@typescript-eslint/consistent-type-imports': 'error'
    }
  },
  {
    // Decision modules stay free of sockets, logs and adapters so that tests and experiments can drive them directly.
    files: ['src/{quota,fairness,prefix,rollout,customer,membership}/*.ts', 'src/request/*.ts', 'src/upstream/{registry,crashAttribution}.ts', 'src/http/memoryAccount/{account,bounds,relief}.ts', ...edgeDecisions, ...orderDecisions],
    rules: {
      'no-restricted-imports': ['error', {
        paths: adapterImports,
        patterns: ['**/platform/http*', '**/upstream/engineClient*', '**/gateway/*', '**/peer/connection*']
      }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'fetch'],
      'no-restricted-properties': ['error',
        { object: 'Date', property: 'now', message: 'Pass the present time as an argument.' },
        { object: 'performance', property: 'now', message: 'Pass the present time as an argument.' },
        { object: 'Math', property: 'random', message: 'Pass a RandomSource as an argument.' }
      ]
    }
  }
]
