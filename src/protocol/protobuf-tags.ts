/** Tags of protobuf fields: the field's number and its wire type. */

/** The low bits of a tag that hold the wire type; the others hold the field number. */
export const WIRE_TYPE_BITS = 3;
/** Masks the wire type of a tag. */
export const WIRE_TYPE_MASK = (1 << WIRE_TYPE_BITS) - 1;
/** Protobuf's wire types of the fields used here. */
export const VARINT = 0;
export const DELIMITED = 2;

/** The tag of an integer. */
export const varint = (field: number): number => (field << WIRE_TYPE_BITS) | VARINT;
/** The tag of a text, of bytes or of a message. */
export const delimited = (field: number): number => (field << WIRE_TYPE_BITS) | DELIMITED;
