/** Constant of the program as a whole: its version. */

/** This program's version. It must equal the one in package.json; a test compares the two. */
export const VERSION = '0.1.0';
