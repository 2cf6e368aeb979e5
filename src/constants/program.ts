/** Constants, each with unit and reason. The program itself. */

/** This program's version, as package.json has it; a test compares the two. */
export const VERSION = '0.1.0';
