/** The stored form of what the bandit has learned of one machine type. */

import { bytesOf } from '../../storage/committer.js';

/** Cells of a matrix that are not zero. */
type MatrixCells = [row: number, column: number, value: number][];

/** Entries of a vector that are not zero. */
type VectorEntries = [row: number, value: number][];

/**
 * An arm as it is kept in the key-value store: A's lower triangle without zeros, and b. What does
 * not fit into one value is in further records, whose fields here are empty: the previous version
 * reads those too, and ignores records whose types differ from its own. The main record alone is a
 * valid arm.
 */
export interface ArmRecord {
  classes: string[];
  types: string[];
  a: MatrixCells;
  b: VectorEntries;
  /** Identifies the records of one snapshot; absent: this is the only record. */
  stamp?: number;
  /** In the main record: the number of further records. */
  further?: number;
  /** In further records: what is to be appended to the fields of the main record. */
  moreClasses?: string[];
  moreA?: MatrixCells;
  moreB?: VectorEntries;
}

/** How an arm is divided among records. */
interface SplitOptions {
  /** Bytes of JSON that one record may have. */
  maxBytes: number;
  /** Identifies the records of this snapshot. */
  stamp: number;
}

/** What the main record of an arm leaves to the further ones. */
type Remainder = Required<Pick<ArmRecord, 'moreClasses' | 'moreA' | 'moreB'>>;

/** Stands for the number of further records until it is known: no number takes more bytes. */
const MAX_FURTHER_RECORDS = 9999;

/**
 * Divides an arm among records, the main one first. None: not even the diagonal of A fits into the
 * main record.
 */
export function splitArm(arm: ArmRecord, options: SplitOptions): ArmRecord[] {
  if (bytesOf(arm) <= options.maxBytes) return [arm];
  const main = mainRecord(arm, options);
  if (!main) return [];
  const classCount = main.classes.length;
  const isOmittedClass = (row: number): boolean => row >= classCount && row < arm.classes.length;
  const remainder = {
    moreClasses: arm.classes.slice(classCount),
    moreA: arm.a.filter(([row, column]) => row !== column || isOmittedClass(row)),
    moreB: arm.b.filter(([row]) => isOmittedClass(row)),
  };
  const further = furtherRecords(remainder, options);
  return [{ ...main, further: further.length }, ...further];
}

/** Diagonal of A and b for as many classes as fit; the others get the diagonal of a new arm. */
function mainRecord(arm: ArmRecord, { maxBytes, stamp }: SplitOptions): ArmRecord | null {
  for (let classCount = arm.classes.length; classCount >= 0; classCount--) {
    const isOmittedClass = (row: number): boolean => row >= classCount && row < arm.classes.length;
    const main: ArmRecord = {
      classes: arm.classes.slice(0, classCount),
      types: arm.types,
      a: arm.a
        .filter(([row, column]) => row === column)
        .map(([row, column, value]) => [row, column, isOmittedClass(row) ? 1 : value]),
      b: arm.b.filter(([row]) => !isOmittedClass(row)),
      stamp,
      further: MAX_FURTHER_RECORDS,
    };
    if (bytesOf(main) <= maxBytes) return main;
  }
  return null;
}

/** Divides what the main record leaves among further records. */
function furtherRecords(remainder: Remainder, { maxBytes, stamp }: SplitOptions): ArmRecord[] {
  const createRecord = (): ArmRecord & Remainder => ({
    classes: [],
    types: [],
    a: [],
    b: [],
    stamp,
    moreClasses: [],
    moreA: [],
    moreB: [],
  });
  let current = createRecord();
  const records = [current];
  let bytes = bytesOf(current);
  const recordFor = (item: unknown): ArmRecord & Remainder => {
    const itemBytes = bytesOf(item) + 1;
    if (bytes + itemBytes > maxBytes) {
      current = createRecord();
      records.push(current);
      bytes = bytesOf(current);
    }
    bytes += itemBytes;
    return current;
  };
  for (const name of remainder.moreClasses) recordFor(name).moreClasses.push(name);
  for (const entry of remainder.moreB) recordFor(entry).moreB.push(entry);
  for (const cell of remainder.moreA) recordFor(cell).moreA.push(cell);
  return records;
}

/**
 * Joins the records of one snapshot; the main record alone where a further one is missing or belongs
 * to another snapshot. `furtherRecord`: looks up the record with a number, counted from 1.
 */
export function joinArm(
  main: ArmRecord,
  furtherRecord: (number: number) => ArmRecord | undefined,
): ArmRecord {
  if (main.stamp === undefined || main.further === undefined) return main;
  const arm = { ...main, classes: [...main.classes], a: [...main.a], b: [...main.b] };
  for (let number = 1; number <= main.further; number++) {
    const further = furtherRecord(number);
    if (further?.stamp !== main.stamp) return main;
    arm.classes.push(...(further.moreClasses ?? []));
    // Later cells replace earlier ones: the main record has those of a new arm for omitted classes.
    arm.a.push(...(further.moreA ?? []));
    arm.b.push(...(further.moreB ?? []));
  }
  return arm;
}
