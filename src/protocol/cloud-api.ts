import { NoAnswer, type HttpClient } from '../transport/http-client.js';
import type { ListedMachine, MachineType } from './model.js';

export type RentResult =
  { kind: 'rented'; machines: string[] } | { kind: 'noCapacity' } | { kind: 'later' };

/** What the program needs of the cloud; tests put a stand-in here. */
export interface CloudApi {
  /** Null: the cloud did not answer usefully; try later. */
  types(): Promise<MachineType[] | null>;
  rent(
    request: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<RentResult>;
  /** True: the machines and everything on them are gone. */
  giveBack(machines: string[]): Promise<boolean>;
  list(after: string): Promise<{ machines: ListedMachine[]; more: boolean } | null>;
}

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
interface WireMachine {
  ref: string;
  endpoint?: string;
  breed: string;
  grove: string;
  windfall?: boolean;
  stage: string;
  heldS?: number;
}

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
    return breeds.map((one) => ({
      name: one.label,
      cpus: one.cores,
      gpus: one.gpus ?? 0,
      memoryGb: one.memGb,
      cacheGb: one.cacheGb ?? 0,
      fetchGbPerS: one.pullGbPerS ?? 1,
      price: one.rate,
      spotPrice: one.lowPrice ?? one.rate,
      bootS: one.bootS ?? 60,
      zones: one.groves ?? [],
    }));
  }

  async rent(
    request: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<RentResult> {
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
    throw new NoAnswer(`rental: odd status ${answer.status}`);
  }

  async giveBack(machines: string[]): Promise<boolean> {
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
      machines: body.moths.map((one) => ({
        name: one.ref,
        address: one.endpoint ?? '',
        type: one.breed,
        zone: one.grove,
        spot: one.windfall ?? false,
        state: one.stage === 'booting' || one.stage === 'failed' ? one.stage : 'running',
        ageS: one.heldS ?? 0,
      })),
      more: body.more === true,
    };
  }
}
