/** Suggestions for misspelt names. */

/** Maximum edit distance relative to the length of the longer name; beyond it, suggestions are misleading. */
const MAXIMUM_RELATIVE_DISTANCE = 0.5

/** Returns the known name with the smallest edit distance, or undefined if no name is similar enough. */
export function nearestName (name: string, known: Iterable<string>): string | undefined {
  let best: string | undefined
  let bestDistance = Infinity
  for (const candidate of known) {
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase())
    if (distance < bestDistance && distance <= Math.max(name.length, candidate.length) * MAXIMUM_RELATIVE_DISTANCE) {
      best = candidate
      bestDistance = distance
    }
  }
  return best
}

/** Computes the Levenshtein distance, keeping a single row of the matrix. */
function editDistance (left: string, right: string): number {
  const row = Array.from({ length: right.length + 1 }, (_, index) => index)
  for (let i = 1; i <= left.length; i++) {
    let diagonal = row[0]!
    row[0] = i
    for (let j = 1; j <= right.length; j++) {
      const substituted = diagonal + (left[i - 1] === right[j - 1] ? 0 : 1)
      diagonal = row[j]!
      row[j] = Math.min(substituted, diagonal + 1, row[j - 1]! + 1)
    }
  }
  return row[right.length]!
}
