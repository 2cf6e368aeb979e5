/** The codec of workers' API: decodes heartbeats and encodes commands. */

import * as v from 'valibot';
import {
  parseTaskName,
  taskName,
  type Command,
  type ExitCause,
  type TaskStatus,
  type TaskState,
  type Heartbeat,
} from './model.js';
import { validate, type Parsed } from './validation.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

const heartbeatSchema = v.object({
  moth: v.pipe(v.string(), v.minLength(1), v.maxLength(100)),
  endpoint: v.nullish(v.string(), ''),
  breed: v.string(),
  grove: v.string(),
  windfall: v.nullish(v.boolean(), false),
  flight: count,
  wingbeat: count,
  mandate: v.nullish(count, 0),
  warningS: v.nullish(v.number(), null),
  larvae: v.nullish(
    v.array(
      v.object({
        larva: v.string(),
        try: count,
        stage: v.string(),
        cause: v.nullish(v.string(), null),
      }),
    ),
    [],
  ),
});

/** Names of task states, exit causes and commands on the wire. */
const WIRE_TASK_STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  gathering: 'gathering',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};
const WIRE_EXIT_CAUSES: Record<string, ExitCause> = {
  done: 'done',
  stopped: 'stopped',
  error: 'error',
  full: 'noCapacity',
  busy: 'busy',
  unknown: 'unknown',
  mates_gone: 'peerLost',
  alone: 'timedOut',
};
const WIRE_VERBS: Record<Command['op'], string> = { start: 'launch', stop: 'halt', forget: 'reap' };

/** Decodes the heartbeat in a request of a worker, or in a worker's answer to commands. */
export function parseHeartbeat(body: Record<string, unknown>): Parsed<Heartbeat> {
  const parsed = validate(heartbeatSchema, body, 'body');
  if (!parsed.ok) return parsed;
  const wire = parsed.value;
  const tasks: TaskStatus[] = [];
  for (const entry of wire.larvae) {
    const task = parseTaskName(entry.larva);
    const state = WIRE_TASK_STATES[entry.stage];
    if (!task || !state) return { ok: false, error: 'larvae: unreadable task' };
    const cause = entry.cause === null ? null : (WIRE_EXIT_CAUSES[entry.cause] ?? 'error');
    tasks.push({ task, attempt: entry.try, state, cause });
  }
  return {
    ok: true,
    value: {
      machine: wire.moth,
      address: wire.endpoint,
      type: wire.breed,
      zone: wire.grove,
      spot: wire.windfall,
      workerEpoch: wire.flight,
      sequence: wire.wingbeat,
      fencingToken: wire.mandate,
      noticeS: wire.warningS,
      tasks,
    },
  };
}

function encodeCommands(commands: Command[]): unknown[] {
  return commands.map((command) => ({
    verb: WIRE_VERBS[command.op],
    larva: taskName(command.task),
    try: command.attempt,
    ...(command.op === 'stop' ? { settleS: command.graceS ?? 0 } : {}),
  }));
}

/** Encodes the response to a heartbeat, with a fencing token and the commands for the worker. */
export function encodeHeartbeatAnswer(fencingToken: number, commands: Command[]): unknown {
  return { mandate: fencingToken, calls: encodeCommands(commands) };
}

/**
 * Encodes direct commands to a worker, which executes them only while `workerEpoch` is its epoch.
 */
export function encodeDirectCommands(
  fencingToken: number,
  workerEpoch: number,
  commands: Command[],
): unknown {
  return { mandate: fencingToken, flight: workerEpoch, calls: encodeCommands(commands) };
}

/** Encodes a redirect of a worker to its shard's holder, `node`; null: the holder is unknown. */
export function encodeRedirect(node: string | null): unknown {
  return node === null ? {} : { hive: node };
}
