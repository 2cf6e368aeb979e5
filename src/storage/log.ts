/** The program's view of a logger. */

/** The part of a logger that the program uses; tests put a silent one in its place. */
export interface Log {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}
