/**
 * Decides which part of the demand for a service is admitted, from the time until its engines could begin a request.
 *
 * Load behind this decision: a burst, or engines that went dark, for several seconds. Requests beyond what the engines
 * can do would queue there past their latency targets. The admitted part falls gradually with the wait: all instances
 * see the same wait with some delay, and a hard limit would make all of them refuse and admit in unison.
 */

/** Range of the expected start, as fractions of the latency target, over which the admitted part falls. */
interface Ramp { from: number, to: number }

/** An engine could begin later than the target leaves time for its own work, about half of the target. */
const FLEET_RAMP: Ramp = { from: 0.1, to: 0.5 }
/** This instance's own requests give the time to the first byte, which includes the work of the engine. */
const OWN_RAMP: Ramp = { from: 0.6, to: 1.2 }
/** Smallest admitted part; the admitted requests show when the overload has ended. */
const MIN_ADMITTED = 0.15

export interface ExpectedWait {
  /** Milliseconds until an engine could begin the request, or until its first byte if the fleet is not known. */
  milliseconds: number
  /** Whether it comes from the loads of all instances. */
  isFleetKnown: boolean
}

/**
 * Returns the part of the demand, by cost, that the engines can serve in time, between 0 and 1.
 * @param target shortest latency target in milliseconds among the kinds of the service; 0 admits everything
 */
export function admittedPart ({ milliseconds, isFleetKnown }: ExpectedWait, target: number): number {
  if (target <= 0) return 1
  const { from, to } = isFleetKnown ? FLEET_RAMP : OWN_RAMP
  const excess = (milliseconds / target - from) / (to - from)
  return Math.min(1, Math.max(MIN_ADMITTED, 1 - excess * (1 - MIN_ADMITTED)))
}

/** Returns the milliseconds until the queue is so short that everything is admitted, if no more is admitted than done. */
export function timeToRecovery ({ milliseconds, isFleetKnown }: ExpectedWait, target: number): number {
  const { from } = isFleetKnown ? FLEET_RAMP : OWN_RAMP
  return Math.max(0, milliseconds - target * from)
}
