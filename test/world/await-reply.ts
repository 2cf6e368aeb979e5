/** Waits in simulated time for the reply to a user's request. */
import type { World } from './world.js';

/** ms of simulated time between two checks for a reply. */
const STEP_MS = 50;

/** Runs simulated time until a request is answered, for at most `maxSteps` steps of 50 ms. */
export async function awaitReply<T>(world: World, request: Promise<T>, maxSteps = 200): Promise<T> {
  let isAnswered = false;
  void request.finally(() => {
    isAnswered = true;
  });
  for (let step = 0; step < maxSteps && !isAnswered; step++) {
    await world.clock.run(world.clock.now() + STEP_MS);
  }
  return request;
}
