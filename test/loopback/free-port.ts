/** Ports for controllers on 127.0.0.1. */
import net from 'node:net';

/**
 * First port for controllers. All are below those that the system gives to outgoing connections (from
 * 32,768 on), because another test's connection could use one of those before the controller starts.
 */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
/** Ports that this process has already returned. */
const allocatedPorts = new Set<number>();
let nextPort = process.pid % PORT_COUNT;

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Returns a port that no process listens on and that this process has not returned before. */
export async function freePort(): Promise<number> {
  for (let tries = 0; tries < PORT_COUNT; tries++) {
    const port = FIRST_PORT + (nextPort++ % PORT_COUNT);
    if (allocatedPorts.has(port)) continue;
    allocatedPorts.add(port);
    if (await canListen(port)) return port;
  }
  throw new Error('all ports for controllers are in use');
}
