/** Handler of `GET /v1/models`: lists the configured models. */
import type { ModelConfiguration } from '../types'
import { sendResponse } from './exchange'
import type { Exchange, ExchangeHandler } from './exchange'

export interface ModelsHandlerOptions {
  models: () => readonly ModelConfiguration[]
  /** @throws AuthenticationError when the request has no valid key. */
  authenticate: (exchange: Exchange) => unknown
}

export function createModelsHandler (options: ModelsHandlerOptions): ExchangeHandler {
  return async (exchange) => {
    options.authenticate(exchange)
    const data = options.models().map((model) => ({ id: model.name, object: 'model', created: 0, owned_by: 'fleet' }))
    sendResponse(exchange, 200, { 'content-type': 'application/json' }, JSON.stringify({ object: 'list', data }))
  }
}
