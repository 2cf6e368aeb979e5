/** The command line: reads the settings and runs one controller until the process ends. */

import { Command } from 'commander';
import { pino, type Logger } from 'pino';
import { Controller, SettingsError, readSettings, type Settings } from './index.js';
import { VERSION } from './constants/program.js';

/** Names that LOG_LEVEL may have; any other counts as `info`. */
const LOG_LEVELS = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'];
/** Exit code for settings that can't be used. */
const EXIT_SETTINGS = 2;
/** The file descriptor that the log goes to. */
const STDERR = 2;

interface CommandLine {
  config: string;
  operators: string[];
  check?: boolean;
}

function loadSettings({ config, operators }: CommandLine): Settings {
  try {
    return readSettings(config, operators);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`mothbank: ${error.message}\n`);
    process.exit(EXIT_SETTINGS);
  }
}

function parseCommandLine(): CommandLine {
  const program = new Command('mothbank')
    .description('One controller of a mothbank cluster.')
    .version(VERSION)
    .requiredOption('--config <file>', 'the settings file that the platform hands over (TOML)')
    .option(
      '--operators <file>',
      "the operators' own settings (TOML); repeatable",
      (file: string, others: string[]) => [...others, file],
      [],
    )
    .option('--check', 'check the settings and exit')
    .addHelpText('after', '\nLOG_LEVEL sets what is written to stderr: error, info or debug.');
  program.parse();
  return program.opts<CommandLine>();
}

function openLog(): Logger {
  const level = process.env['LOG_LEVEL'] ?? 'info';
  return pino(
    { level: LOG_LEVELS.includes(level) ? level : 'info', base: null },
    pino.destination({ dest: STDERR, sync: true }),
  );
}

async function main(): Promise<void> {
  const options = parseCommandLine();
  const settings = loadSettings(options);
  if (options.check) {
    process.stdout.write('settings are good\n');
    return;
  }
  const log = openLog();
  // Nothing unforeseen may end a controller: it would be missed more than what failed.
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught'));
  process.on('unhandledRejection', (error) => log.error({ error: String(error) }, 'unhandled'));
  await Controller.start(settings, log);
}

main().catch((error: unknown) => {
  process.stderr.write(`mothbank: ${String(error)}\n`);
  process.exit(1);
});
