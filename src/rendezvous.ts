/**
 * Rendezvous (highest random weight) hashing: all instances compute the same ranking of names for a key without
 * communication, and removing a name reassigns only the keys of that name. Reference: Thaler and Ravishankar, 1998.
 */

/** Returns the weight of a name for a key as an unsigned 32-bit integer. The name with the highest weight wins. */
export function rendezvousWeight (key: string, name: string): number {
  return combine(hashText(key), hashText(name))
}

/** Returns the names in descending order of weight. Equal weights are ordered by name. */
export function rankByRendezvous (key: string, names: readonly string[]): string[] {
  const keyHash = hashText(key)
  return names
    .map(name => ({ name, weight: combine(keyHash, hashText(name)) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name)
}

/** FNV-1a over UTF-16 code units. Synchronous, because routing decisions cannot wait until xxhash-wasm is loaded. */
function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let position = 0; position < text.length; position++) {
    hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193)
  }
  return hash >>> 0
}

/** Applies the MurmurHash3 finalizer to both hashes. FNV-1a alone gives similar names similar weights. */
function combine (keyHash: number, nameHash: number): number {
  let mixed = Math.imul(keyHash, 0x9e3779b1) ^ nameHash
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
