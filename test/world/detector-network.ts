/** Failure detectors without controllers, on a simulated network with losses and delays. */
import {
  FailureDetector,
  type DetectorMessage,
  type MemberState,
  type Transition,
} from '@mothbank/failure-detector';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SimClock } from './clock.js';

/** The default timing, which applies if operators set none. */
export const TIMING = {
  probeIntervalMs: 1000,
  probeTimeoutMs: 500,
  suspicionLeastMs: 4500,
  suspicionMostMs: 6000,
};

/** A message with its sender and its receiver. */
export interface Delivery {
  from: string;
  to: string;
  message: DetectorMessage;
}

/** Timers and messages that a paused member handles when its pause ends. */
interface Pending {
  timers: (() => void)[];
  messages: (() => void)[];
}

/** Failure detectors that exchange messages over a simulated network. */
export class DetectorNetwork {
  readonly clock = new SimClock();
  readonly detectors = new Map<string, FailureDetector>();
  readonly transitions: Transition[] = [];
  /** Returns the delay in ms of a message; null: the message is lost. */
  delayMs: (delivery: Delivery) => number | null = () => 2;
  /** Members that get no answer from the key-value store. */
  readonly withoutStore = new Set<string>();
  /** All messages that were sent, so that tests can deliver them again. */
  readonly sent: Delivery[] = [];
  /** Offset in ms of the members' wall-clock time. */
  wallOffsetMs = 0;
  private readonly pendingWhilePaused = new Map<string, Pending>();
  private readonly random;
  private instances = 0;

  constructor(
    readonly names: readonly string[],
    seed: number,
    private readonly quorum: number | null = null,
  ) {
    this.random = xoroshiro128plus(seed);
    for (const name of names) this.start(name);
  }

  /** Starts a member as a new process. */
  start(name: string): void {
    this.detectors.get(name)?.stop();
    this.pendingWhilePaused.delete(name);
    const instance = `${name}-${++this.instances}`;
    const isCurrent = (): boolean => this.detectors.get(name) === detector;
    const detector: FailureDetector = new FailureDetector({
      self: name,
      instance,
      members: this.names,
      cluster: 'c',
      timing: TIMING,
      quorum: this.quorum,
      clock: {
        now: () => this.clock.now(),
        wall: () => this.clock.wall() + this.wallOffsetMs,
        after: (ms, run) =>
          this.clock.after(ms, () => isCurrent() && this.deliverTo(name, run, 'timers')),
      },
      random: () => uniformFloat64(this.random),
      transport: { send: (to, message) => this.send({ from: name, to, message }) },
      observer: { changed: (transition) => this.transitions.push(transition) },
      storeAnswers: () => !this.withoutStore.has(name),
    });
    this.detectors.set(name, detector);
    detector.start();
  }

  /** Stops a member and removes it. */
  kill(name: string): void {
    this.detectors.get(name)?.stop();
    this.detectors.delete(name);
  }

  /** Pauses a member's event loop; its timers and messages wait until the pause ends. */
  pause(name: string, seconds: number): void {
    const pending: Pending = { timers: [], messages: [] };
    this.pendingWhilePaused.set(name, pending);
    this.clock.after(seconds * 1000, () => {
      if (this.pendingWhilePaused.get(name) !== pending) return;
      this.pendingWhilePaused.delete(name);
      // A process that resumes runs its expired timers before it reads its sockets.
      for (const run of [...pending.timers, ...pending.messages]) this.clock.after(0, run);
    });
  }

  /** Delivers a message; tests also call this to deliver a duplicate. */
  deliver({ from, to, message }: Delivery): void {
    this.deliverTo(to, () => {
      this.detectors.get(to)?.receive(message, (reply) => {
        this.send({ from: to, to: from, message: reply });
      });
    });
  }

  async run(seconds: number): Promise<void> {
    await this.clock.run(this.clock.now() + seconds * 1000);
  }

  state(observer: string, member: string): MemberState {
    return this.detectors.get(observer)?.stateOf(member) ?? 'unknown';
  }

  /** Returns all states that a member had for any observer, since a wall-clock time in ms. */
  statesOf(member: string, since = 0): Set<MemberState> {
    const transitions = this.transitions.filter((one) => one.member === member && one.at >= since);
    return new Set(transitions.map((one) => one.to));
  }

  /** Returns a random number in [0, 1), determined by the seed. */
  randomFraction(): number {
    return uniformFloat64(this.random);
  }

  private deliverTo(name: string, run: () => void, kind: keyof Pending = 'messages'): void {
    const pending = this.pendingWhilePaused.get(name);
    if (pending) pending[kind].push(run);
    else run();
  }

  private send(delivery: Delivery): boolean {
    if (!this.detectors.has(delivery.to)) return false;
    this.sent.push(delivery);
    const delayMs = this.delayMs(delivery);
    if (delayMs !== null) this.clock.after(delayMs, () => this.deliver(delivery));
    return true;
  }
}
