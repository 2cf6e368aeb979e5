/** Simulated users who submit, poll and cancel jobs, and poll all controllers after each change. */
import type { SimJob, Reply } from './jobs.js';
import { stageOf } from './jobs.js';
import type { World } from './world.js';

/** Timeouts in ms of a poll, and of a submission or cancellation. */
const POLL_TIMEOUT_MS = 2000;
const CHANGE_TIMEOUT_MS = 5000;
/** Pauses in ms between two polls, and before a submission or cancellation is repeated. */
const POLL_EVERY_MS = 5000;
const RETRY_MS = 1000;
/** ms for which users repeat a submission or cancellation that is not confirmed. */
const RETRY_FOR_MS = 60_000;
/** ms within which a user sends requests to all controllers. */
const POLL_SPREAD_MS = 80;

/** Changes of a repeated submission: none, a missing field, and a team that does not exist. */
const RESUBMISSIONS: Record<string, unknown>[] = [{}, { gpus: undefined }, { crew: 'nobody' }];

/** The number of jobs, the interval between them, and their properties. */
export interface UsersOptions {
  jobs: number;
  /** ms between two jobs. */
  everyMs: number;
  jobOf: (number: number) => Partial<SimJob>;
}

/** The users of a world. */
export class Users {
  /** Jobs whose submission was confirmed to the user. */
  readonly accepted: string[] = [];

  constructor(
    private readonly world: World,
    private readonly options: UsersOptions,
  ) {}

  /** Submits the jobs at intervals; each user then cancels the job or polls until it has ended. */
  start(): void {
    for (let number = 0; number < this.options.jobs; number++) {
      const id = `j-${String(500_000 + number)}`;
      this.world.clock.after(number * this.options.everyMs, () => void this.followJob(id, number));
    }
  }

  private async followJob(id: string, number: number): Promise<void> {
    const job = this.options.jobOf(number);
    const submit = (node: string): Promise<Reply> => this.world.submit(id, job, node);
    if (!(await this.retryUntilConfirmed(submit))) return;
    this.accepted.push(id);
    await this.pollAllControllers(id, job);
    // A quarter of the jobs is cancelled at once, another quarter after 7 s.
    const cancelAfterMs = [0, 7000][this.world.randomBelow(4)];
    if (cancelAfterMs !== undefined) {
      await this.sleep(cancelAfterMs);
      await this.retryUntilConfirmed((node) => this.world.cancel(id, node));
      await this.pollAllControllers(id, job);
      return;
    }
    for (;;) {
      const reply = await this.withTimeout(POLL_TIMEOUT_MS, this.world.poll(id, this.anyNode()));
      if (['done', 'withdrawn'].includes(stageOf(reply))) break;
      await this.sleep(POLL_EVERY_MS);
    }
    await this.pollAllControllers(id, job);
  }

  /** Repeats a request until it is confirmed; false: not confirmed within `RETRY_FOR_MS`. */
  private async retryUntilConfirmed(request: (node: string) => Promise<Reply>): Promise<boolean> {
    const until = this.world.clock.now() + RETRY_FOR_MS;
    while (this.world.clock.now() < until) {
      const { status } = await this.withTimeout(CHANGE_TIMEOUT_MS, request(this.anyNode()));
      if (status === 200 || status === 201) return true;
      await this.sleep(RETRY_MS);
    }
    return false;
  }

  /** Sends random polls and repeated submissions to all controllers, within `POLL_SPREAD_MS`. */
  private async pollAllControllers(id: string, job: Partial<SimJob>): Promise<void> {
    const requests = this.world.members.flatMap(([node]) =>
      [0, 1, 2].map(async () => {
        await this.sleep(this.world.randomBelow(POLL_SPREAD_MS));
        const kind = this.world.randomBelow(RESUBMISSIONS.length + 1);
        const changes = RESUBMISSIONS[kind];
        if (changes === undefined)
          await this.withTimeout(POLL_TIMEOUT_MS, this.world.poll(id, node));
        else await this.withTimeout(CHANGE_TIMEOUT_MS, this.world.submit(id, job, node, changes));
      }),
    );
    await Promise.all(requests);
  }

  private anyNode(): string {
    const { members } = this.world;
    return members[this.world.randomBelow(members.length)]?.[0] ?? '';
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.world.clock.after(ms, resolve));
  }

  /** Returns the reply, or status 0 if no reply comes within `ms`. */
  private withTimeout(ms: number, reply: Promise<Reply>): Promise<Reply> {
    return new Promise((resolve) => {
      const cancel = this.world.clock.after(ms, () => resolve({ status: 0, body: null }));
      void reply.then((received) => {
        cancel();
        resolve(received);
      });
    });
  }
}
