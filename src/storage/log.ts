/** The logger's interface. */

/** The methods of a logger that the program uses; tests pass a silent logger. */
export interface Log {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}
