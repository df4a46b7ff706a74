/** Sets an entry of a map, and removes the entry that was set longest ago if there are more than `maximum`. */
export function setBounded<Value> (map: Map<string, Value>, key: string, value: Value, maximum: number): void {
  map.delete(key)
  map.set(key, value)
  const oldest = map.keys().next().value
  if (map.size > maximum && oldest !== undefined) map.delete(oldest)
}
