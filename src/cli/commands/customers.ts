/** `customers`: customers of the current configuration, their keys, and the rates that instances hold for them now. */
import { readCurrentConfiguration } from '../../configuration/apply'
import { listKeys } from '../../customer/keyStore'
import type { CommandFunction } from '../context'
import { askStatuses, controlPorts, tryListInstances } from '../controlPorts'
import { noFurtherArguments } from '../input'
import { formatTable } from '../output'

export const runCustomers: CommandFunction = async (input) => {
  noFurtherArguments(input, 0)
  const platform = input.platform()
  const current = await readCurrentConfiguration(platform)
  const keys = await listKeys(platform)
  const listed = await tryListInstances(platform)
  const answers = listed === undefined ? [] : await askStatuses(input.context, controlPorts(listed, []))
  const answered = answers.filter(({ value }) => value?.quota !== undefined)
  const customers = (current?.configuration.customers ?? []).map(({ name, rate, burst, weight }) => {
    const held = answered.map(({ value }) => value!.quota!.find(({ customer }) => customer === name)?.rate ?? 0)
    return {
      name,
      rate,
      burst,
      weight,
      grantedKeys: keys.filter(({ customer, state }) => customer === name && state === 'granted').length,
      /** Sum over the instances that answered; undefined when none did. */
      heldRate: answered.length === 0 ? undefined : held.reduce((sum, part) => sum + part, 0)
    }
  })
  const rows = customers.map(({ name, rate, burst, weight, grantedKeys, heldRate }) => {
    return [name, rate, burst, weight, grantedKeys, heldRate === undefined ? undefined : Math.round(heldRate)]
  })
  const note = `held rates from ${answered.length} of ${listed === undefined ? 'an unknown number of' : answers.length} listed instances\n`
  return {
    data: {
      revision: current?.revision ?? 0,
      customers,
      instancesAnswered: answered.length,
      instancesListed: listed === undefined ? undefined : answers.length
    },
    text: formatTable(['CUSTOMER', 'RATE', 'BURST', 'WEIGHT', 'KEYS', 'HELD RATE'], rows) + note
  }
}
