/**
 * Rendezvous (highest random weight) hashing: every instance ranks the same names in the same order for a key, without
 * communicating, and a name that goes away moves only its own keys. Source: Thaler and Ravishankar, 1998.
 */

/** Weight of a name for a key, an unsigned 32-bit integer; the highest wins. */
export function rendezvousWeight (key: string, name: string): number {
  return combine(hashText(key), hashText(name))
}

/** The names in falling order of weight; equal weights are ordered by name. */
export function rankByRendezvous (key: string, names: readonly string[]): string[] {
  const keyHash = hashText(key)
  return names
    .map(name => ({ name, weight: combine(keyHash, hashText(name)) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name)
}

/** FNV-1a over UTF-16 units. Synchronous, because routing decisions cannot wait for the loading of xxhash-wasm. */
function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let position = 0; position < text.length; position++) {
    hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193)
  }
  return hash >>> 0
}

/** Finalizer of MurmurHash3 over both hashes; FNV-1a alone leaves similar names with similar weights. */
function combine (keyHash: number, nameHash: number): number {
  let mixed = Math.imul(keyHash, 0x9e3779b1) ^ nameHash
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
