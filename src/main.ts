/** Entry point of the controller: reads command line and settings, and runs one controller. */

import { Command } from 'commander';
import { pino, type Logger } from 'pino';
import { Controller, SettingsError, readSettings, type Settings } from './index.js';
import { VERSION } from './constants/program.js';

/** Accepted values of the environment variable LOG_LEVEL; any other value means `info`. */
const LOG_LEVELS = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'];
/** Exit code for invalid settings. */
const EXIT_SETTINGS = 2;
/** The file descriptor to which the log is written. */
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
    .requiredOption('--config <file>', 'the settings file that the platform provides (TOML)')
    .option(
      '--operators <file>',
      "the operators' own settings (TOML); repeatable",
      (file: string, previous: string[]) => [...previous, file],
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
  // An unexpected error is logged and does not end the process, because the loss of the whole
  // controller would do more harm than the one operation that failed.
  process.on('uncaughtException', (error) =>
    log.error({ error: error.stack }, 'uncaught exception'),
  );
  process.on('unhandledRejection', (error) =>
    log.error({ error: String(error) }, 'unhandled promise rejection'),
  );
  await Controller.start(settings, log);
}

main().catch((error: unknown) => {
  process.stderr.write(`mothbank: ${String(error)}\n`);
  process.exit(1);
});
