/** The cloud's protocol over HTTP, in front of the simulated cloud. */
import type { SimCloud } from '../world/cloud.js';
import type { FrontReply, FrontRequest } from './http-front.js';

/** Answers a request of any controller to the cloud. */
export async function answerForCloud(
  cloud: SimCloud,
  { method, path, query, body }: FrontRequest,
): Promise<FrontReply> {
  const api = cloud.api();
  if (path === '/catalog') {
    const types = (await api.types()) ?? [];
    const breeds = types.map((type) => ({
      label: type.name,
      cores: type.cpus,
      gpus: type.gpus,
      memGb: type.memoryGb,
      cacheGb: type.cacheGb,
      pullGbPerS: type.fetchGbPerS,
      rate: type.price,
      lowPrice: type.spotPrice,
      bootS: type.bootS,
      groves: type.zones,
    }));
    return { status: 200, body: { breeds } };
  }
  if (path === '/rentals/return') {
    const isDone = await api.returnMachines(body['moths'] as string[]);
    return { status: isDone ? 200 : 503, body: {} };
  }
  if (method === 'GET') {
    const { machines } = (await api.list(query.get('since') ?? '')) ?? { machines: [] };
    const moths = machines.map((machine) => ({
      ref: machine.name,
      endpoint: machine.address,
      breed: machine.type,
      grove: machine.zone,
      windfall: machine.spot,
      stage: machine.state,
      heldS: machine.ageS,
    }));
    return { status: 200, body: { moths, more: false } };
  }
  const result = await api.rent({
    request: String(body['plea']),
    type: String(body['breed']),
    zone: String(body['grove']),
    spot: body['windfall'] === true,
    count: Number(body['count']),
  });
  if (result.kind === 'rented') return { status: 200, body: { moths: result.machines } };
  return { status: 503, body: { error: 'no capacity' } };
}
