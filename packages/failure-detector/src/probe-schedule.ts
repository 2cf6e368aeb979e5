/** The order in which members are probed: all once in each round, shuffled anew for the next. */

/** Bounds the time until any member is probed again, as SWIM's shuffled round-robin does. */
export class ProbeSchedule {
  private remainingInRound: string[] = [];

  constructor(
    private readonly members: readonly string[],
    private readonly random: () => number,
  ) {}

  /** The member to be probed next; null: there is no other member. */
  next(): string | null {
    if (this.remainingInRound.length === 0) this.remainingInRound = this.shuffled(this.members);
    return this.remainingInRound.pop() ?? null;
  }

  /** Up to `count` members other than `target`, chosen at random. */
  helpersFor(target: string, count: number): string[] {
    return this.shuffled(this.members.filter((member) => member !== target)).slice(0, count);
  }

  private shuffled(members: readonly string[]): string[] {
    const order = [...members];
    for (let last = order.length - 1; last > 0; last--) {
      const other = Math.floor(this.random() * (last + 1));
      const moved = order[last] ?? '';
      order[last] = order[other] ?? '';
      order[other] = moved;
    }
    return order;
  }
}
