/** `customers`: lists the customers of the current configuration, their keys, and the rates that instances hold for them. */
import { readCurrentConfiguration } from '../../configuration/apply'
import { listKeys } from '../../customer/keyStore'
import type { CommandFunction } from '../context'
import { requestStatuses, controlPorts, tryListInstances } from '../controlPorts'
import { noFurtherArguments } from '../input'
import { formatTable } from '../output'

export const runCustomers: CommandFunction = async (input) => {
  noFurtherArguments(input, 0)
  const platform = input.platform()
  const current = await readCurrentConfiguration(platform)
  const keys = await listKeys(platform)
  const listed = await tryListInstances(platform)
  const responses = listed === undefined ? [] : await requestStatuses(input.context, controlPorts(listed, []))
  const quotaResponses = responses.filter(({ value }) => value?.quota !== undefined)
  const customers = (current?.configuration.customers ?? []).map(({ name, rate, burst, weight }) => {
    const instanceRates = quotaResponses
      .map(({ value }) => value!.quota!.find(({ customer }) => customer === name)?.rate ?? 0)
    return {
      name,
      rate,
      burst,
      weight,
      grantedKeys: keys.filter(({ customer, state }) => customer === name && state === 'granted').length,
      /** Sum over the instances that responded with their quota; undefined if none did. */
      heldRate: quotaResponses.length === 0
        ? undefined
        : instanceRates.reduce((sum, instanceRate) => sum + instanceRate, 0)
    }
  })
  const rows = customers.map(({ name, rate, burst, weight, grantedKeys, heldRate }) => {
    return [name, rate, burst, weight, grantedKeys, heldRate === undefined ? undefined : Math.round(heldRate)]
  })
  const note = `held rates from ${quotaResponses.length} of ${listed === undefined ? 'an unknown number of' : responses.length} listed instances\n`
  return {
    data: {
      revision: current?.revision ?? 0,
      customers,
      instancesAnswered: quotaResponses.length,
      instancesListed: listed === undefined ? undefined : responses.length
    },
    text: formatTable(['CUSTOMER', 'RATE', 'BURST', 'WEIGHT', 'KEYS', 'HELD RATE'], rows) + note
  }
}
