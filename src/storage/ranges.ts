/** Writes and reads sets of task numbers as ranges, for example "0-15,17". */

/** Returns a set of numbers as text with ranges. */
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

/** Returns the numbers in a text with ranges, in the order of the text. */
export function readRanges(text: string): number[] {
  if (text === '') return [];
  const ids: number[] = [];
  for (const range of text.split(',')) {
    const [first, last] = range.split('-').map(Number);
    for (let id = first ?? 0; id <= (last ?? first ?? 0); id++) ids.push(id);
  }
  return ids;
}

/** Returns how many numbers a text with ranges contains, without building a list of them. */
export function countRanges(text: string): number {
  if (text === '') return 0;
  let count = 0;
  for (const range of text.split(',')) {
    const [first, last] = range.split('-').map(Number);
    count += (last ?? first ?? 0) - (first ?? 0) + 1;
  }
  return count;
}
