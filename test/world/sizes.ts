/** Sizes of stored values. */

/** Bytes of a value that is small for the records under test, so that they need several. */
export const SMALL_VALUE_BYTES = 2048;

/** Bytes that a value takes in the key-value store. */
export const storedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
