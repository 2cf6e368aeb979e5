/** The client of workers: commands sent without waiting for the next report. */

import { OutcomeUnknownError } from '../transport/errors.js';
import { HttpClient } from '../transport/http-client.js';
import type { Clock } from '../transport/clock.js';
import type { Command, Heartbeat } from './model.js';
import { encodeDirectCommands, parseHeartbeat } from './worker-codec.js';

/** What became of commands sent straight to a worker. */
export interface DirectResult {
  executed: boolean;
  /** The worker's report after it. */
  heartbeat: Heartbeat;
}

/** Sends commands straight to workers; tests put a stand-in here. */
export interface WorkerApi {
  /** No further call should be made now: what waits goes out when others are answered. */
  readonly full: boolean;
  /** Throws where no readable answer came: the commands may still be carried out. */
  command(
    address: string,
    fencingToken: number,
    agentEpoch: number,
    commands: Command[],
  ): Promise<DirectResult>;
}

/** Workers over HTTP, on a bounded number of kept connections. */
export class HttpWorkerApi implements WorkerApi {
  private readonly clients = new Map<string, HttpClient>();
  /** Addresses with a call under way, one each. */
  private readonly calling = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
    private readonly maxClients: number,
    private readonly maxCalls: number,
  ) {}

  get full(): boolean {
    return this.calling.size >= this.maxCalls;
  }

  private client(address: string): HttpClient {
    let client = this.clients.get(address);
    if (client) this.clients.delete(address);
    else client = new HttpClient(address, this.clock, 1);
    // Kept in the order of use; the one unused for longest makes room.
    this.clients.set(address, client);
    for (const [oldest, unused] of this.clients) {
      if (this.clients.size <= this.maxClients) break;
      if (this.calling.has(oldest)) continue;
      this.clients.delete(oldest);
      unused.close();
    }
    return client;
  }

  async command(
    address: string,
    fencingToken: number,
    agentEpoch: number,
    commands: Command[],
  ): Promise<DirectResult> {
    this.calling.add(address);
    const body = encodeDirectCommands(fencingToken, agentEpoch, commands);
    const answer = await this.client(address)
      .call('POST', '/commands', body, this.timeoutMs)
      .finally(() => this.calling.delete(address));
    const parsed = parseHeartbeat((answer.body ?? {}) as Record<string, unknown>);
    if ((answer.status !== 200 && answer.status !== 409) || !parsed.ok) {
      throw new OutcomeUnknownError(`commands: odd answer ${answer.status}`);
    }
    return { executed: answer.status === 200, heartbeat: parsed.value };
  }

  /** Ends all connections. */
  close(): void {
    for (const client of this.clients.values()) client.close();
  }
}
