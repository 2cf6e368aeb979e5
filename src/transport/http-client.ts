/** An HTTP/1.1 client for JSON requests to one address. */

import http from 'node:http';
import { parseAddress } from './address.js';
import type { Clock } from './clock.js';
import { OutcomeUnknownError } from './errors.js';

/** A complete response, whatever its status. */
export interface HttpResponse {
  status: number;
  /** Parsed JSON, or null where the body was empty or not JSON. */
  body: unknown;
}

/**
 * Parses a body as JSON; returns null if it is empty or not JSON, so that only the status counts.
 */
function parseBody(chunks: Buffer[]): unknown {
  if (chunks.length === 0) return null;
  try {
    return JSON.parse(Buffer.concat(chunks).toString());
  } catch {
    return null;
  }
}

/**
 * Collects a response and reports it to `succeed` or `fail`. Both may be called, since a connection
 * can break with several events. The first call decides the outcome.
 */
function readResponse(
  response: http.IncomingMessage,
  succeed: (answer: HttpResponse) => void,
  fail: (error: Error) => void,
): void {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.on('error', fail);
  response.on('aborted', () =>
    fail(new Error('connection closed before the response was complete')),
  );
  response.on('end', () => {
    succeed({ status: response.statusCode ?? 0, body: parseBody(chunks) });
  });
}

/**
 * Sends JSON requests to one address, on at most `maxSockets` keep-alive connections of HTTP/1.1.
 */
export class HttpClient {
  private readonly agent: http.Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(
    address: string,
    private readonly clock: Clock,
    maxSockets: number,
  ) {
    const { host, port } = parseAddress(address);
    this.host = host;
    this.port = port;
    this.agent = new http.Agent({ keepAlive: true, maxSockets });
  }

  /**
   * Sends one request; rejects with `OutcomeUnknownError` if no complete response arrives in time.
   */
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
      const request = this.open(method, path, payload);
      const cancelTimer = this.clock.after(timeoutMs, () => {
        request.destroy(new Error('timed out'));
      });
      const fail = (error: Error): void => {
        cancelTimer();
        const reason = `${method} ${path.split('?')[0]}: ${error.message}`;
        reject(new OutcomeUnknownError(reason, { cause: error }));
      };
      const succeed = (answer: HttpResponse): void => {
        cancelTimer();
        resolve(answer);
      };
      request.on('error', fail);
      request.on('response', (response) => readResponse(response, succeed, fail));
      request.end(payload);
    });
  }

  private open(method: string, path: string, payload: Buffer | undefined): http.ClientRequest {
    const headers = payload
      ? { 'content-type': 'application/json', 'content-length': payload.length }
      : {};
    const { agent, host, port } = this;
    return http.request({ agent, host, port, method, path, headers });
  }

  /** Closes all connections; requests in flight fail. */
  close(): void {
    this.agent.destroy();
  }
}
