/** Confines errors of the program to the request that they occur in. */

/** Returns a handler of events that passes what it throws to the containment. */
export type Contain = <Values extends unknown[]>(handle: (...values: Values) => void) => (...values: Values) => void

/** @param onFault called with what a handler throws, which would end the process otherwise */
export function createFaultContainment (onFault: (error: unknown) => void): Contain {
  return (handle) => (...values) => {
    try {
      handle(...values)
    } catch (error) {
      onFault(error)
    }
  }
}
