/** Messages between controllers and the simulated worker, by the wire's names. */

/** A command to a machine. */
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

/** The body of an answer: commands to a machine of its own, or the controller to send heartbeats to. */
export interface WireAnswer {
  mandate?: number;
  calls?: WireCommand[];
  hive?: string;
}

/** The body of an answer, whether it came as text or not. */
export const bodyOf = (answer: Answer | null): WireAnswer | null =>
  (typeof answer?.body === 'string' ? JSON.parse(answer.body) : answer?.body) as WireAnswer | null;
