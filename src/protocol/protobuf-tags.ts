/** Tags of protobuf fields: a tag combines the field's number and its wire type. */

/** Number of low bits of a tag that hold the wire type; the other bits hold the field number. */
export const WIRE_TYPE_BITS = 3;
/** Mask of the bits that hold the wire type. */
export const WIRE_TYPE_MASK = (1 << WIRE_TYPE_BITS) - 1;
/** Wire type of integers and booleans. */
export const VARINT = 0;
/** Wire type of texts, bytes and embedded messages, which are prefixed with their length. */
export const DELIMITED = 2;

/** Returns the tag of an integer or boolean field. */
export const varint = (field: number): number => (field << WIRE_TYPE_BITS) | VARINT;
/** Returns the tag of a field that holds a text, bytes or an embedded message. */
export const delimited = (field: number): number => (field << WIRE_TYPE_BITS) | DELIMITED;
