/** Failure detectors alone, in simulated time, on a network with losses and delays. */
import {
  FailureDetector,
  type DetectorMessage,
  type MemberState,
  type Transition,
} from '@mothbank/failure-detector';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { SimClock } from './clock.js';

/** What operators get without settings of their own. */
export const TIMING = {
  probeIntervalMs: 1000,
  probeTimeoutMs: 500,
  suspicionLeastMs: 4500,
  suspicionMostMs: 6000,
};

/** A message on its way. */
export interface Delivery {
  from: string;
  to: string;
  message: DetectorMessage;
}

/** What waits for a member that is paused. */
interface Pending {
  timers: (() => void)[];
  messages: (() => void)[];
}

/** Detectors that send each other messages. */
export class DetectorNetwork {
  readonly clock = new SimClock();
  readonly detectors = new Map<string, FailureDetector>();
  readonly transitions: Transition[] = [];
  /** ms that a message takes; null: it is lost. */
  delayMs: (delivery: Delivery) => number | null = () => 2;
  /** Members that the store does not answer. */
  readonly withoutStore = new Set<string>();
  /** All that was sent, if it is to be sent again. */
  readonly sent: Delivery[] = [];
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

  /** A member is gone. */
  kill(name: string): void {
    this.detectors.get(name)?.stop();
    this.detectors.delete(name);
  }

  /** A member's event loop is paused: what comes waits until it goes on. */
  pause(name: string, seconds: number): void {
    const waiting: Pending = { timers: [], messages: [] };
    this.pendingWhilePaused.set(name, waiting);
    this.clock.after(seconds * 1000, () => {
      if (this.pendingWhilePaused.get(name) !== waiting) return;
      this.pendingWhilePaused.delete(name);
      // A process that goes on runs its timers before it reads its sockets.
      for (const run of [...waiting.timers, ...waiting.messages]) this.clock.after(0, run);
    });
  }

  /** Delivers a message, or delivers it once more. */
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

  /** The states that a member ever had for others, since a time of day. */
  statesOf(member: string, since = 0): Set<MemberState> {
    const own = this.transitions.filter((one) => one.member === member && one.at >= since);
    return new Set(own.map((one) => one.to));
  }

  /** Uniform in [0, 1), by the seed. */
  random01(): number {
    return uniformFloat64(this.random);
  }

  private deliverTo(name: string, run: () => void, kind: keyof Pending = 'messages'): void {
    const waiting = this.pendingWhilePaused.get(name);
    if (waiting) waiting[kind].push(run);
    else run();
  }

  private send(delivery: Delivery): boolean {
    if (!this.detectors.has(delivery.to)) return false;
    this.sent.push(delivery);
    const delay = this.delayMs(delivery);
    if (delay !== null) this.clock.after(delay, () => this.deliver(delivery));
    return true;
  }
}
