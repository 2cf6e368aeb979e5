/** The client of workers: commands sent directly, without waiting for the next heartbeat. */

import { OutcomeUnknownError } from '../transport/errors.js';
import { HttpClient } from '../transport/http-client.js';
import type { Clock } from '../transport/clock.js';
import type { Command, Heartbeat } from './model.js';
import { encodeDirectCommands, parseHeartbeat } from './worker-codec.js';

/** The outcome of commands sent directly to a worker. */
export interface DirectResult {
  executed: boolean;
  /** The worker's heartbeat after it. */
  heartbeat: Heartbeat;
}

/** Sends commands directly to workers; tests pass a stand-in. */
export interface WorkerApi {
  /** No further call should be made now: the rest is sent once responses have come. */
  readonly full: boolean;
  /** Throws where no valid response came: the commands may still be executed. */
  command(
    address: string,
    fencingToken: number,
    workerEpoch: number,
    commands: Command[],
  ): Promise<DirectResult>;
}

/** Workers over HTTP, on a bounded number of kept connections. */
export class HttpWorkerApi implements WorkerApi {
  private readonly clients = new Map<string, HttpClient>();
  /** Addresses with a call in flight, one each. */
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
    // In the order of use: the least recently used client is evicted.
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
    workerEpoch: number,
    commands: Command[],
  ): Promise<DirectResult> {
    this.calling.add(address);
    const body = encodeDirectCommands(fencingToken, workerEpoch, commands);
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
