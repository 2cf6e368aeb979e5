/** What nodes and the stand-in for a worker say to each other, by the wire's names. */

/** A command to a machine. */
export interface WireCommand {
  verb: string;
  larva: string;
  try: number;
  settleS?: number;
}

/** What a node answers a report. */
export interface Answer {
  status: number;
  body: unknown;
}

/** The body of an answer: commands to a machine of its own, or the node to report to. */
export interface WireAnswer {
  mandate?: number;
  calls?: WireCommand[];
  hive?: string;
}

/** The body of an answer, whether it came as text or not. */
export const bodyOf = (answer: Answer | null): WireAnswer | null =>
  (typeof answer?.body === 'string' ? JSON.parse(answer.body) : answer?.body) as WireAnswer | null;
