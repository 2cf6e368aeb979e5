/** Messages between controllers and the simulated workers, with their names on the wire. */

/** A command to a worker. */
export interface WireCommand {
  verb: string;
  larva: string;
  try: number;
  settleS?: number;
}

/** A controller's answer to a heartbeat. */
export interface Answer {
  status: number;
  body: unknown;
}

/** The body of an answer: commands, or with status 421 the controller to send heartbeats to. */
export interface WireAnswer {
  mandate?: number;
  calls?: WireCommand[];
  hive?: string;
}

/** Returns the body of an answer, parsed if the body is text. */
export const bodyOf = (answer: Answer | null): WireAnswer | null =>
  (typeof answer?.body === 'string' ? JSON.parse(answer.body) : answer?.body) as WireAnswer | null;
