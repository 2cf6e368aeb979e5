/** Sizes of stored values. */

/** A size limit of values so low that each record under test needs several values. */
export const SMALL_VALUE_BYTES = 2048;

/** Returns the size in bytes of a value in the key-value store. */
export const storedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
