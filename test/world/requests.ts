/** Users' requests in simulated time. */
import type { World } from './world.js';

/** ms between two checks whether a request is answered. */
const TURN_MS = 50;

/** Lets simulated time run until a request is answered, but no longer than so many turns. */
export async function settled<T>(world: World, request: Promise<T>, turns = 200): Promise<T> {
  let done = false;
  void request.finally(() => {
    done = true;
  });
  for (let turn = 0; turn < turns && !done; turn++) {
    await world.clock.run(world.clock.now() + TURN_MS);
  }
  return request;
}
