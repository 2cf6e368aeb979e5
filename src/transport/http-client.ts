import http from 'node:http';
import type { Clock } from './clock.js';

export interface HttpAnswer {
  status: number;
  /** Parsed JSON, or null where the body was empty or no JSON. */
  body: unknown;
}

/** No response came: the request may have been carried out, or may still be. */
export class NoAnswer extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'NoAnswer';
  }
}

/** JSON over HTTP/1.1 to one address, on connections that are kept. */
export class HttpClient {
  private readonly agent: http.Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(
    address: string,
    private readonly clock: Clock,
    maxSockets: number,
  ) {
    const colon = address.lastIndexOf(':');
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent = new http.Agent({ keepAlive: true, maxSockets });
  }

  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpAnswer> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
      const request = http.request({
        agent: this.agent,
        host: this.host,
        port: this.port,
        method,
        path,
        headers: payload
          ? { 'content-type': 'application/json', 'content-length': payload.length }
          : {},
      });
      const stopTimer = this.clock.after(timeoutMs, () => {
        request.destroy(new Error('timed out'));
      });
      const fail = (error: Error): void => {
        stopTimer();
        reject(new NoAnswer(`${method} ${path.split('?')[0]}: ${error.message}`));
      };
      request.on('error', fail);
      request.on('response', (response) => {
        const parts: Buffer[] = [];
        response.on('data', (part: Buffer) => parts.push(part));
        response.on('error', fail);
        response.on('aborted', () => fail(new Error('connection ended')));
        response.on('end', () => {
          stopTimer();
          let parsed: unknown = null;
          try {
            if (parts.length > 0) parsed = JSON.parse(Buffer.concat(parts).toString());
          } catch {
            // A body that is no JSON counts as none; the status alone then decides.
          }
          resolve({ status: response.statusCode ?? 0, body: parsed });
        });
      });
      request.end(payload);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
