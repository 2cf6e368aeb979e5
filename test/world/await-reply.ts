/** Users' requests in simulated time. */
import type { World } from './world.js';

/** ms between two checks whether a request is answered. */
const STEP_MS = 50;

/** Lets simulated time run until a request is answered, but no longer than so many turns. */
export async function awaitReply<T>(world: World, request: Promise<T>, maxSteps = 200): Promise<T> {
  let done = false;
  void request.finally(() => {
    done = true;
  });
  for (let turn = 0; turn < maxSteps && !done; turn++) {
    await world.clock.run(world.clock.now() + STEP_MS);
  }
  return request;
}
