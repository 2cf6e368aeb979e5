/** The logger's interface. */

/** The subset of a logger that the program uses; tests pass a silent one. */
export interface Log {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}
