/** The library's entry point, with the exports that a program needs to embed a controller. */

export { Controller } from './coordination/controller/controller.js';
export { ControllerCore, type Environment } from './coordination/controller/controller-core.js';
export { readSettings, SettingsError, type Settings } from './protocol/settings.js';
export type { Log } from './storage/log.js';
