import * as v from 'valibot';
import type { Parsed } from './user-codec.js';
import {
  parseTaskName,
  taskName,
  type Command,
  type ExitCause,
  type TaskReport,
  type TaskState,
  type WorkerReport,
} from './model.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

const report = v.object({
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

const STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  gathering: 'gathering',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};
const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  stopped: 'stopped',
  error: 'error',
  full: 'noRoom',
  busy: 'busy',
  unknown: 'unknown',
  mates_gone: 'peerLost',
  alone: 'timedOut',
};
const OPS: Record<Command['op'], string> = { start: 'launch', stop: 'halt', forget: 'reap' };

export function parseReport(body: Record<string, unknown>): Parsed<WorkerReport> {
  const result = v.safeParse(report, body);
  if (!result.success) {
    const issue = result.issues[0];
    return { ok: false, error: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const o = result.output;
  const tasks: TaskReport[] = [];
  for (const entry of o.larvae) {
    const task = parseTaskName(entry.larva);
    const state = STATES[entry.stage];
    if (!task || !state) return { ok: false, error: 'larvae: unreadable task' };
    const cause = entry.cause === null ? null : (CAUSES[entry.cause] ?? 'error');
    tasks.push({ task, attempt: entry.try, state, cause });
  }
  return {
    ok: true,
    value: {
      machine: o.moth,
      address: o.endpoint,
      type: o.breed,
      zone: o.grove,
      spot: o.windfall,
      session: o.flight,
      seq: o.wingbeat,
      token: o.mandate,
      noticeS: o.warningS,
      tasks,
    },
  };
}

function encodeCommands(commands: Command[]): unknown[] {
  return commands.map((command) => ({
    verb: OPS[command.op],
    larva: taskName(command.task),
    try: command.attempt,
    ...(command.op === 'stop' ? { settleS: command.graceS ?? 0 } : {}),
  }));
}

export function encodeReportAnswer(token: number, commands: Command[]): unknown {
  return { mandate: token, calls: encodeCommands(commands) };
}

export function encodeDirect(token: number, session: number, commands: Command[]): unknown {
  return { mandate: token, flight: session, calls: encodeCommands(commands) };
}

export function encodeRedirect(node: string | null): unknown {
  return node === null ? {} : { hive: node };
}
