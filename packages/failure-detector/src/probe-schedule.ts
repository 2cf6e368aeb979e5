/** The order in which members are probed, and the choice of helpers for indirect probes. */

/**
 * SWIM's shuffled round-robin: every member is probed once in a round, and each round has a new random
 * order. This bounds the time between two probes of the same member.
 */
export class ProbeSchedule {
  private remainingInRound: string[] = [];

  constructor(
    private readonly members: readonly string[],
    private readonly random: () => number,
  ) {}

  /** Returns the member to probe next; null: there is no other member. */
  nextMember(): string | null {
    if (this.remainingInRound.length === 0) this.remainingInRound = this.shuffled(this.members);
    return this.remainingInRound.pop() ?? null;
  }

  /** Returns up to `count` random members other than `target`. */
  helpersFor(target: string, count: number): string[] {
    return this.shuffled(this.members.filter((member) => member !== target)).slice(0, count);
  }

  private shuffled(members: readonly string[]): string[] {
    const order = [...members];
    for (let index = order.length - 1; index > 0; index--) {
      const otherIndex = Math.floor(this.random() * (index + 1));
      const moved = order[index] ?? '';
      order[index] = order[otherIndex] ?? '';
      order[otherIndex] = moved;
    }
    return order;
  }
}
