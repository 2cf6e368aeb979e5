/** The stored form of a bandit's arm, which holds what was learned about one machine type. */

import * as v from 'valibot';
import { validate, type Parsed } from '../../protocol/validation.js';
import { bytesOf } from '../../storage/committer.js';

/** Cells of a matrix that are not zero. */
type MatrixCells = [row: number, column: number, value: number][];

/** Entries of a vector that are not zero. */
type VectorEntries = [row: number, value: number][];

const index = v.pipe(v.number(), v.integer(), v.minValue(0));
const finite = v.pipe(v.number(), v.finite());
const names = v.array(v.string());
const matrixCells = v.array(v.tuple([index, index, finite]));
const vectorEntries = v.array(v.tuple([index, finite]));

const armRecordSchema = v.object({
  classes: names,
  types: names,
  a: matrixCells,
  b: vectorEntries,
  stamp: v.exactOptional(v.number()),
  further: v.exactOptional(index),
  moreClasses: v.exactOptional(names),
  moreA: v.exactOptional(matrixCells),
  moreB: v.exactOptional(vectorEntries),
});

/**
 * An arm as it is stored: `a` holds the non-zero cells of the lower triangle of the symmetric
 * matrix A, and `b` the non-zero entries of the vector b. A and b are the state of the bandit's
 * ridge regression for one machine type. Data that exceeds the size of one value is in further
 * records, where `classes`, `types`, `a` and `b` are empty. The previous version of this program
 * reads further records as arms too, but ignores them because their empty `types` differ from its
 * own list of machine types. The main record alone is a valid arm.
 */
export interface ArmRecord {
  classes: string[];
  types: string[];
  a: MatrixCells;
  b: VectorEntries;
  /** Identifies the records of one snapshot; absent if this is the only record. */
  stamp?: number;
  /** In the main record: number of further records. */
  further?: number;
  /** In further records: elements to append to `classes`, `a` and `b` of the main record. */
  moreClasses?: string[];
  moreA?: MatrixCells;
  moreB?: VectorEntries;
}

/** Validates a stored value that should be a record of an arm. */
export function parseArmRecord(value: unknown): Parsed<ArmRecord> {
  return validate(armRecordSchema, value, 'record');
}

/** Options for dividing an arm among records. */
interface SplitOptions {
  /** Maximum size of one record, in bytes of JSON. */
  maxBytes: number;
  /** Identifies the records of this snapshot. */
  stamp: number;
}

/** Data of an arm that is not in its main record. */
type Remainder = Required<Pick<ArmRecord, 'moreClasses' | 'moreA' | 'moreB'>>;

/**
 * Placeholder for the number of further records while the main record is sized. No actual number
 * takes more bytes.
 */
const FURTHER_COUNT_PLACEHOLDER = 9999;

/**
 * Divides an arm among records, the main one first. Returns an empty list if not even the diagonal
 * of A fits into the main record.
 */
export function splitArm(arm: ArmRecord, options: SplitOptions): ArmRecord[] {
  if (bytesOf(arm) <= options.maxBytes) return [arm];
  const main = mainRecord(arm, options);
  if (!main) return [];
  const classCount = main.classes.length;
  const entriesInMain = new Set(main.b.map(([row]) => row));
  const isOmittedClass = (row: number): boolean => row >= classCount && row < arm.classes.length;
  const remainder = {
    moreClasses: arm.classes.slice(classCount),
    moreA: arm.a.filter(([row, column]) => row !== column || isOmittedClass(row)),
    moreB: arm.b.filter(([row]) => !entriesInMain.has(row)),
  };
  const further = furtherRecords(remainder, options);
  return [{ ...main, further: further.length }, ...further];
}

/**
 * Returns the main record: the diagonal of A, and b, for as many classes as fit. The diagonal cells
 * of the other classes are 1, as in a new arm. If the record is too large even without classes, it
 * has no b. Returns null if that is too large as well.
 */
function mainRecord(arm: ArmRecord, { maxBytes, stamp }: SplitOptions): ArmRecord | null {
  const header = { stamp, further: FURTHER_COUNT_PLACEHOLDER };
  for (let classCount = arm.classes.length; classCount >= 0; classCount--) {
    const main: ArmRecord = { ...diagonalOf(arm, classCount), ...header };
    if (bytesOf(main) <= maxBytes) return main;
  }
  const withoutResponse: ArmRecord = { ...diagonalOf(arm, 0), ...header, b: [] };
  return bytesOf(withoutResponse) <= maxBytes ? withoutResponse : null;
}

/** The diagonal of A, and b, of an arm that has learned about its first `classCount` classes only. */
function diagonalOf(
  arm: ArmRecord,
  classCount: number,
): Pick<ArmRecord, 'classes' | 'types' | 'a' | 'b'> {
  const isOmittedClass = (row: number): boolean => row >= classCount && row < arm.classes.length;
  return {
    classes: arm.classes.slice(0, classCount),
    types: arm.types,
    a: arm.a
      .filter(([row, column]) => row === column)
      .map(([row, column, value]) => [row, column, isOmittedClass(row) ? 1 : value]),
    b: arm.b.filter(([row]) => !isOmittedClass(row)),
  };
}

/** Divides the data that is not in the main record among further records. */
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
 * Joins the records of one snapshot. Returns the main record alone if a further record is missing
 * or belongs to another snapshot. `furtherRecord` looks up a further record by its number; the
 * first is 1.
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
    // For omitted classes the main record has the diagonal cells of a new arm. The cells appended
    // here replace them when the arm is restored.
    arm.a.push(...(further.moreA ?? []));
    arm.b.push(...(further.moreB ?? []));
  }
  return arm;
}
