/** Sends new commands straight to workers instead of waiting for their next heartbeats. */
import type { Command } from '../../protocol/model.js';
import type { UnconfirmedCalls, Machine } from '../shard-state/machine.js';
import type { MachineCommands } from './machine-commands.js';
import type { ShardContext } from './shard-context.js';
import type { HeartbeatObserver } from './heartbeat-observer.js';

/**
 * Calls workers with what is new for them. One call to a machine at a time; until it was answered
 * or is fenced, none of its attempts is placed anew or forgotten, since it may be carried out
 * minutes late.
 */
export class DirectCalls {
  constructor(
    private readonly context: ShardContext,
    private readonly commands: MachineCommands,
    private readonly observer: HeartbeatObserver,
  ) {}

  /** Sends what is new for the machines that are marked for commands. */
  sendPending(): void {
    const { machinesToCommand, machines, options, workers } = this.context;
    if (!options.isHolder() || !options.isReplicaCurrent()) return;
    for (const name of [...machinesToCommand]) {
      if (workers.full) return;
      const machine = machines.all.get(name);
      if (machine?.directCalls) continue;
      machinesToCommand.delete(name);
      // The answer to the heartbeat that proves that it hears us carries all that is missing.
      if (!machine?.isAcknowledged || machine.address === '') continue;
      const commands = this.newCommandsFor(machine);
      if (commands.length > 0) void this.send(machine, commands);
    }
  }

  private newCommandsFor(machine: Machine): Command[] {
    const commands = this.commands.commandsFor(machine, { resend: false });
    // A silent machine may still hear calls: it gets stops, but no starts.
    if (this.context.machines.health(machine) !== 'silent') return commands;
    return commands.filter(({ op }) => op === 'stop');
  }

  private async send(machine: Machine, commands: Command[]): Promise<void> {
    const { clock, machinesToCommand, log, machines, wake, workers } = this.context;
    const call: UnconfirmedCalls = {
      agentEpoch: machine.agentEpoch,
      attempts: new Set(commands.map((command) => command.attempt)),
      fencedBy: null,
    };
    machine.directCalls = call;
    if (commands.some(({ op }) => op === 'start')) machine.hasUnfencedStart = true;
    const askedAt = clock.now();
    const fencingToken = machines.fencingTokens.tokenOf(machine);
    try {
      const result = await workers.command(
        machine.address,
        fencingToken,
        machine.agentEpoch,
        commands,
      );
      if (machine.directCalls === call) machine.directCalls = null;
      this.observer.observe(machine, result.heartbeat, askedAt);
      if (machinesToCommand.size > 0) wake();
    } catch (error) {
      if (machine.directCalls !== call) return;
      machines.fencingTokens.requireAcknowledgement(machine);
      call.fencedBy = machines.fencingTokens.tokenOf(machine);
      log.info({ machine: machine.name, error: String(error) }, 'direct commands got no answer');
    }
  }
}
