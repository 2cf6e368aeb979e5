/** Sends new commands straight to workers instead of waiting for their next reports. */
import type { Command } from '../../protocol/model.js';
import type { Direct, Machine } from '../shard-state/machine.js';
import type { MachineCommands } from './machine-commands.js';
import type { PartContext } from './shard-context.js';
import type { ReportObserver } from './heartbeat-observer.js';

/**
 * Calls workers with what is new for them. One call to a machine at a time; until it was answered
 * or is fenced, none of its attempts is placed anew or forgotten, since it may be carried out
 * minutes late.
 */
export class DirectCalls {
  constructor(
    private readonly context: PartContext,
    private readonly commands: MachineCommands,
    private readonly observer: ReportObserver,
  ) {}

  /** Sends what is new for the machines that are marked dirty. */
  sendPending(): void {
    const { dirtyMachines, machines, options, workers } = this.context;
    if (!options.alive() || !options.current()) return;
    for (const name of [...dirtyMachines]) {
      if (workers.full) return;
      const machine = machines.all.get(name);
      if (machine?.direct) continue;
      dirtyMachines.delete(name);
      // The answer to the report that proves that it hears us carries all that is missing.
      if (!machine?.proven || machine.address === '') continue;
      const commands = this.newCommandsFor(machine);
      if (commands.length > 0) void this.send(machine, commands);
    }
  }

  private newCommandsFor(machine: Machine): Command[] {
    const commands = this.commands.commandsFor(machine, { resend: false });
    // A silent one may still hear calls: what must end there is told to it, nothing else.
    if (this.context.machines.health(machine) !== 'silent') return commands;
    return commands.filter(({ op }) => op === 'stop');
  }

  private async send(machine: Machine, commands: Command[]): Promise<void> {
    const { clock, dirtyMachines, log, machines, wake, workers } = this.context;
    const direct: Direct = {
      session: machine.session,
      attempts: new Set(commands.map((command) => command.attempt)),
      fence: null,
    };
    machine.direct = direct;
    if (commands.some(({ op }) => op === 'start')) machine.exposed = true;
    const askedAt = clock.now();
    const token = machines.tokenOf(machine);
    try {
      const result = await workers.command(machine.address, token, machine.session, commands);
      if (machine.direct === direct) machine.direct = null;
      this.observer.observe(machine, result.report, askedAt);
      if (dirtyMachines.size > 0) wake();
    } catch (error) {
      if (machine.direct !== direct) return;
      machines.doubt(machine);
      direct.fence = machines.tokenOf(machine);
      log.info({ machine: machine.name, error: String(error) }, 'direct commands unanswered');
    }
  }
}
