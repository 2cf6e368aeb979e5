/** Sets of task numbers as short text: "0-15,17". */

/** The text for a set of numbers. */
export function writeRanges(ids: Iterable<number>): string {
  const sorted = [...ids].sort((a, b) => a - b);
  const parts: string[] = [];
  for (let at = 0; at < sorted.length;) {
    const first = sorted[at] ?? 0;
    let last = first;
    while (sorted[at + 1] === last + 1) {
      last++;
      at++;
    }
    parts.push(first === last ? `${first}` : `${first}-${last}`);
    at++;
  }
  return parts.join(',');
}

/** The numbers that a text stands for, in its order. */
export function readRanges(text: string): number[] {
  if (text === '') return [];
  const ids: number[] = [];
  for (const part of text.split(',')) {
    const [first, last] = part.split('-').map(Number);
    for (let id = first ?? 0; id <= (last ?? first ?? 0); id++) ids.push(id);
  }
  return ids;
}

/** How many numbers a text stands for, without listing them. */
export function countRanges(text: string): number {
  if (text === '') return 0;
  let count = 0;
  for (const part of text.split(',')) {
    const [first, last] = part.split('-').map(Number);
    count += (last ?? first ?? 0) - (first ?? 0) + 1;
  }
  return count;
}
