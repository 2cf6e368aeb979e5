/** The client of the cloud's API for machine types, rentals, returns and the list of rentals. */

import { OutcomeUnknownError } from '../transport/errors.js';
import type { HttpClient } from '../transport/http-client.js';
import type { ListedMachine, MachineType } from './model.js';

/**
 * The outcome of a rental request. `rented`: these machines were rented. `noCapacity`: the cloud
 * has no capacity for the rental. `later`: the cloud is busy or limits requests, so the rental is
 * to be retried later.
 */
export type RentResult =
  { kind: 'rented'; machines: string[] } | { kind: 'noCapacity' } | { kind: 'later' };

/**
 * A rental request. A repeat with the same idempotency key, `request`, rents no further machines.
 */
export interface Rental {
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The operations of the cloud that the program uses; tests pass a stand-in. */
export interface CloudApi {
  /** Fetches the catalog of machine types; null: no valid response, to be retried later. */
  types(): Promise<MachineType[] | null>;
  /** Rents up to `count` machines. Throws if the response does not show whether any were rented. */
  rent(rental: Rental): Promise<RentResult>;
  /**
   * Returns machines to the cloud, even while tasks run on them; false: the cloud did not accept.
   */
  returnMachines(machines: string[]): Promise<boolean>;
  /**
   * Fetches one page of the rented machines, those after the machine named `after` ('': the first
   * page); null: no valid response, to be retried later.
   */
  list(after: string): Promise<{ machines: ListedMachine[]; more: boolean } | null>;
}

/** A machine type in the cloud's catalog, with the names that the cloud uses. */
interface WireType {
  label: string;
  cores: number;
  gpus?: number;
  memGb: number;
  cacheGb?: number;
  pullGbPerS?: number;
  rate: number;
  lowPrice?: number;
  bootS?: number;
  groves: string[];
}

/** A machine in the cloud's list of rented machines, with the names that the cloud uses. */
interface WireMachine {
  ref: string;
  endpoint?: string;
  breed: string;
  grove: string;
  windfall?: boolean;
  stage: string;
  heldS?: number;
}

function readMachineType(wire: WireType): MachineType {
  return {
    name: wire.label,
    cpus: wire.cores,
    gpus: wire.gpus ?? 0,
    memoryGb: wire.memGb,
    cacheGb: wire.cacheGb ?? 0,
    fetchGbPerS: wire.pullGbPerS ?? 1,
    price: wire.rate,
    spotPrice: wire.lowPrice ?? wire.rate,
    bootS: wire.bootS ?? 60,
    zones: wire.groves ?? [],
  };
}

function readListedMachine(wire: WireMachine): ListedMachine {
  return {
    name: wire.ref,
    address: wire.endpoint ?? '',
    type: wire.breed,
    zone: wire.grove,
    spot: wire.windfall ?? false,
    state: wire.stage === 'booting' || wire.stage === 'failed' ? wire.stage : 'running',
    ageS: wire.heldS ?? 0,
  };
}

/** The client of the cloud over HTTP. The names that the cloud uses occur only in this module. */
export class HttpCloudApi implements CloudApi {
  constructor(
    private readonly http: HttpClient,
    private readonly timeoutMs: number,
    private readonly pageSize: number,
  ) {}

  async types(): Promise<MachineType[] | null> {
    const answer = await this.http.call('GET', '/catalog', undefined, this.timeoutMs);
    const breeds = (answer.body as { breeds?: WireType[] } | null)?.breeds;
    if (answer.status !== 200 || !Array.isArray(breeds)) return null;
    return breeds.map(readMachineType);
  }

  async rent(rental: Rental): Promise<RentResult> {
    const { request, type, zone, spot, count } = rental;
    const answer = await this.http.call(
      'POST',
      '/rentals',
      { plea: request, breed: type, grove: zone, windfall: spot, count },
      this.timeoutMs,
    );
    const body = answer.body as { moths?: string[]; error?: string } | null;
    if (answer.status === 200 && Array.isArray(body?.moths)) {
      return { kind: 'rented', machines: body.moths };
    }
    if (answer.status === 503 && body?.error === 'no capacity') return { kind: 'noCapacity' };
    if (answer.status === 429 || answer.status === 503) return { kind: 'later' };
    throw new OutcomeUnknownError(
      `cloud's answer to POST /rentals: expected 200 with a list "moths", 429 or 503, got status ${answer.status}`,
    );
  }

  async returnMachines(machines: string[]): Promise<boolean> {
    const answer = await this.http.call(
      'POST',
      '/rentals/return',
      { moths: machines },
      this.timeoutMs,
    );
    return answer.status === 200;
  }

  async list(after: string): Promise<{ machines: ListedMachine[]; more: boolean } | null> {
    const since = after === '' ? '' : `since=${encodeURIComponent(after)}&`;
    const answer = await this.http.call(
      'GET',
      `/rentals?${since}page=${this.pageSize}`,
      undefined,
      this.timeoutMs,
    );
    const body = answer.body as { moths?: WireMachine[]; more?: boolean } | null;
    if (answer.status !== 200 || !Array.isArray(body?.moths)) return null;
    return {
      machines: body.moths.map(readListedMachine),
      more: body.more === true,
    };
  }
}
