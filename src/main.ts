import { Command } from 'commander';
import { pino } from 'pino';
import { Controller, SettingsError, readSettings, type Settings } from './index.js';
import { VERSION } from './constants.js';

function load(config: string, operators: string | undefined): Settings {
  try {
    return readSettings(config, operators ?? null);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`mothbank: ${error.message}\n`);
    process.exit(2);
  }
}

async function main(): Promise<void> {
  const program = new Command('mothbank')
    .description('One controller of a mothbank cluster.')
    .version(VERSION)
    .requiredOption('--config <file>', 'the settings file that the platform hands over (TOML)')
    .option('--operators <file>', "the operators' own settings (TOML)")
    .option('--check', 'check the settings and exit')
    .addHelpText('after', '\nLOG_LEVEL sets what is written to stderr: error, info or debug.');
  program.parse();
  const options = program.opts<{ config: string; operators?: string; check?: boolean }>();
  const settings = load(options.config, options.operators);
  if (options.check) {
    process.stdout.write('settings are good\n');
    return;
  }
  const level = process.env['LOG_LEVEL'] ?? 'info';
  const known = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'];
  const log = pino(
    { level: known.includes(level) ? level : 'info', base: null },
    pino.destination({ dest: 2, sync: true }),
  );
  // Nothing unforeseen may end a controller: it would be missed more than what failed.
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught'));
  process.on('unhandledRejection', (error) => log.error({ error: String(error) }, 'unhandled'));
  await Controller.start(settings, log);
}

main().catch((error: unknown) => {
  process.stderr.write(`mothbank: ${String(error)}\n`);
  process.exit(1);
});
