/** Sets of task numbers as short text: "0-15,17". */

/** A set of numbers as text. */
export function writeRanges(ids: Iterable<number>): string {
  const sorted = [...ids].sort((a, b) => a - b);
  const ranges: string[] = [];
  for (let position = 0; position < sorted.length;) {
    const first = sorted[position] ?? 0;
    let last = first;
    while (sorted[position + 1] === last + 1) {
      last++;
      position++;
    }
    ranges.push(first === last ? `${first}` : `${first}-${last}`);
    position++;
  }
  return ranges.join(',');
}

/** The numbers of a text, in its order. */
export function readRanges(text: string): number[] {
  if (text === '') return [];
  const ids: number[] = [];
  for (const range of text.split(',')) {
    const [first, last] = range.split('-').map(Number);
    for (let id = first ?? 0; id <= (last ?? first ?? 0); id++) ids.push(id);
  }
  return ids;
}

/** How many numbers a text has, without listing them. */
export function countRanges(text: string): number {
  if (text === '') return 0;
  let count = 0;
  for (const range of text.split(',')) {
    const [first, last] = range.split('-').map(Number);
    count += (last ?? first ?? 0) - (first ?? 0) + 1;
  }
  return count;
}
