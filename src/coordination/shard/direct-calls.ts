/** Sends new commands directly to workers instead of waiting for their next heartbeats. */
import type { Command } from '../../protocol/model.js';
import type { UnconfirmedCall, Machine } from '../shard-state/machine.js';
import type { MachineCommands } from './machine-commands.js';
import type { ShardContext } from './shard-context.js';
import type { HeartbeatObserver } from './heartbeat-observer.js';

/**
 * Sends new commands to workers, with at most one call per machine at a time. Until a call has been
 * answered or fenced, its commands may still be carried out, even minutes later, so none of its
 * attempts is placed again or forgotten.
 */
export class DirectCalls {
  constructor(
    private readonly context: ShardContext,
    private readonly commands: MachineCommands,
    private readonly observer: HeartbeatObserver,
  ) {}

  /** Sends the new commands of all machines that are marked for commands. */
  sendPending(): void {
    const { machinesToCommand, machines, options, workers } = this.context;
    if (!options.isHolder() || !options.isReplicaCurrent()) return;
    for (const name of [...machinesToCommand]) {
      if (workers.isAtCallLimit) return;
      const machine = machines.all.get(name);
      if (machine?.unconfirmedCall) continue;
      machinesToCommand.delete(name);
      // An unacknowledged machine gets all missing commands in the answer to the heartbeat that
      // acknowledges it.
      if (!machine?.isAcknowledged || machine.address === '') continue;
      const commands = this.newCommandsFor(machine);
      if (commands.length > 0) void this.send(machine, commands);
    }
  }

  private newCommandsFor(machine: Machine): Command[] {
    const commands = this.commands.commandsFor(machine, { resend: false });
    // A silent machine may still receive calls. It gets stops, but no starts, because its lease may
    // expire soon.
    if (this.context.machines.health(machine) !== 'silent') return commands;
    return commands.filter(({ op }) => op === 'stop');
  }

  private async send(machine: Machine, commands: Command[]): Promise<void> {
    const { clock, machinesToCommand, log, machines, wake, workers } = this.context;
    const call: UnconfirmedCall = {
      workerEpoch: machine.workerEpoch,
      attempts: new Set(commands.map((command) => command.attempt)),
      fencedBy: null,
    };
    machine.unconfirmedCall = call;
    if (commands.some(({ op }) => op === 'start')) machine.hasUnfencedStart = true;
    const callSentAt = clock.now();
    const fencingToken = machines.fencingTokens.tokenOf(machine);
    try {
      const result = await workers.command(
        machine.address,
        fencingToken,
        machine.workerEpoch,
        commands,
      );
      if (machine.unconfirmedCall === call) machine.unconfirmedCall = null;
      this.observer.observe(machine, result.heartbeat, callSentAt);
      if (machinesToCommand.size > 0) wake();
    } catch (error) {
      if (machine.unconfirmedCall !== call) return;
      machines.fencingTokens.requireAcknowledgement(machine);
      call.fencedBy = machines.fencingTokens.tokenOf(machine);
      log.info({ machine: machine.name, error: String(error) }, 'direct call to worker failed');
    }
  }
}
