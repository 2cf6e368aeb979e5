/** One built controller as a process of its own, stopped and continued by its process id. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const MAIN = join(dirname(fileURLToPath(import.meta.url)), '..', '..', 'src', 'main.js');

/** A line of a controller's log. */
export type LogLine = Record<string, unknown> & { msg?: string };

/** A controller that is started, once or several times, with the same arguments. */
export class ControllerProcess {
  /** Log lines of all its processes. */
  readonly log: LogLine[] = [];
  private child: ChildProcess | null = null;
  /** The last line that is not a log line, for example the reason why the controller could not start. */
  lastPlainLine = '';
  private incompleteLine = '';

  constructor(private readonly args: readonly string[]) {}

  /** Starts a new process with a built program; by default this build's. */
  start(program = MAIN): void {
    const child = spawn(process.execPath, [program, ...this.args], {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.child = child;
    child.stderr.on('data', (bytes: Buffer) => this.read(bytes.toString()));
  }

  /** Returns whether the process exited by itself. */
  get hasEnded(): boolean {
    return this.child !== null && this.child.exitCode !== null;
  }

  /** Suspends the process; wall clock and monotonic clock continue. */
  pause(): void {
    this.child?.kill('SIGSTOP');
  }

  /** Continues a suspended process. */
  resume(): void {
    this.child?.kill('SIGCONT');
  }

  /** Kills the process, and resolves once it has exited. */
  async kill(): Promise<void> {
    const { child } = this;
    this.child = null;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  }

  private read(text: string): void {
    const lines = (this.incompleteLine + text).split('\n');
    this.incompleteLine = lines.pop() ?? '';
    for (const line of lines) {
      if (line.startsWith('{')) this.log.push(JSON.parse(line) as LogLine);
      else if (line !== '') this.lastPlainLine = line;
    }
  }
}
