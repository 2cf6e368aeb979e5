/** The client of workers' API, which sends commands without waiting for the next heartbeat. */

import { OutcomeUnknownError } from '../transport/errors.js';
import { HttpClient } from '../transport/http-client.js';
import type { Clock } from '../transport/clock.js';
import type { Command, Heartbeat } from './model.js';
import { encodeDirectCommands, parseHeartbeat } from './worker-codec.js';

/** The result of commands sent directly to a worker. */
export interface DirectCommandResult {
  /** False: the worker refused the commands because of their fencing token or worker epoch. */
  executed: boolean;
  /** The heartbeat in the worker's answer. */
  heartbeat: Heartbeat;
}

/** Sends commands directly to workers; tests pass a stand-in. */
export interface WorkerApi {
  /** True: the limit of concurrent calls is reached; further calls must wait for responses. */
  readonly isAtCallLimit: boolean;
  /** Sends commands. Throws if no valid response came; the commands may still be executed then. */
  command(
    address: string,
    fencingToken: number,
    workerEpoch: number,
    commands: Command[],
  ): Promise<DirectCommandResult>;
}

/**
 * The client of workers over HTTP. Keeps connections open for later calls, at most `maxClients`.
 */
export class HttpWorkerApi implements WorkerApi {
  private readonly clients = new Map<string, HttpClient>();
  /** Addresses of workers with a call in flight; each has at most one. */
  private readonly busyAddresses = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly timeoutMs: number,
    private readonly maxClients: number,
    private readonly maxCalls: number,
  ) {}

  get isAtCallLimit(): boolean {
    return this.busyAddresses.size >= this.maxCalls;
  }

  private client(address: string): HttpClient {
    let client = this.clients.get(address);
    if (client) this.clients.delete(address);
    else client = new HttpClient(address, this.clock, 1);
    // The map is in order of use: its first client without a call is the least recently used one.
    this.clients.set(address, client);
    for (const [candidate, idleClient] of this.clients) {
      if (this.clients.size <= this.maxClients) break;
      if (this.busyAddresses.has(candidate)) continue;
      this.clients.delete(candidate);
      idleClient.close();
    }
    return client;
  }

  async command(
    address: string,
    fencingToken: number,
    workerEpoch: number,
    commands: Command[],
  ): Promise<DirectCommandResult> {
    this.busyAddresses.add(address);
    const body = encodeDirectCommands(fencingToken, workerEpoch, commands);
    const answer = await this.client(address)
      .call('POST', '/commands', body, this.timeoutMs)
      .finally(() => this.busyAddresses.delete(address));
    const parsed = parseHeartbeat((answer.body ?? {}) as Record<string, unknown>);
    if ((answer.status !== 200 && answer.status !== 409) || !parsed.ok) {
      throw new OutcomeUnknownError(
        `worker's answer to POST /commands: expected a heartbeat with 200 or 409, got status ${answer.status}`,
      );
    }
    return { executed: answer.status === 200, heartbeat: parsed.value };
  }

  /** Closes all connections; calls in flight fail. */
  close(): void {
    for (const client of this.clients.values()) client.close();
  }
}
