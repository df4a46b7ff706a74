/** Rendezvous hashing: all instances order candidates for a subject alike without communicating. */
import { createHash } from 'node:crypto'

/** Candidates by falling weight for the subject. Removing one candidate does not change the order of the others. */
export function rendezvousOrder (subject: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map(candidate => ({ candidate, weight: createHash('sha256').update(`${subject}\n${candidate}`).digest('hex') }))
    .sort((left, right) => left.weight < right.weight ? 1 : left.weight > right.weight ? -1 : 0)
    .map(({ candidate }) => candidate)
}
