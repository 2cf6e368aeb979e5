/** Parsing of socket addresses of the form `HOST:PORT`. */

/** A TCP endpoint. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Splits `HOST:PORT` at its last colon. The form of addresses in settings is checked before. */
export function parseAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
