/**
 * What both older versions need of the records that they read, taken from reading their code. Keys
 * and fields stand here as literals: they never change.
 */

/** A record as it is stored. */
export type Fields = Record<string, unknown>;

/** What is wrong of a record, whose key ends with these names. */
export type Check = (name: string[], value: Fields) => string[];
type Type = 'string' | 'number' | 'boolean' | 'object' | 'list' | 'string?' | 'number?' | 'list?';

function hasType(type: Type, one: unknown): boolean {
  if (type.endsWith('?')) return one === null || hasType(type.slice(0, -1) as Type, one);
  if (type === 'list') return Array.isArray(one);
  if (type === 'object') return typeof one === 'object' && one !== null && !Array.isArray(one);
  if (type === 'number') return Number.isFinite(one);
  return typeof one === type;
}

/** Fields that are missing or of another type; further ones are read by nobody. */
export const wrongFields = (value: unknown, types: Record<string, Type>): string[] =>
  Object.entries(types)
    .filter(([field, type]) => !hasType(type, (value as Fields | null)?.[field]))
    .map(([field, type]) => `${field} is no ${type}`);

/** The objection, unless something is so. */
export const objectionUnless = (condition: boolean, objection: string): string[] =>
  condition ? [] : [objection];

/** As both versions' bookkeeping/ranges.ts reads them; null: it would read something else. */
export function rangesAsRead(text: string): number[] | null {
  if (!/^$|^\d+(-\d+)?(,\d+(-\d+)?)*$/.test(text)) return null;
  const ids: number[] = [];
  for (const part of text === '' ? [] : text.split(',')) {
    const [first = 0, last = first] = part.split('-').map(Number);
    for (let id = first; id <= last; id++) ids.push(id);
  }
  return ids;
}

// --- Both versions -----------------------------------------------------------------------------

/** protocol/terms.ts, JobSpec: every field is used without a check, null where it says so. */
const SPEC: Record<string, Type> = {
  id: 'string',
  class: 'string',
  team: 'string',
  kind: 'string',
  priority: 'string',
  tasks: 'number',
  cpus: 'number',
  gpus: 'number',
  memoryGb: 'number',
  image: 'string',
  imageGb: 'number',
  types: 'list?',
  zone: 'string?',
  oneZone: 'boolean',
  spread: 'boolean',
  spot: 'boolean',
  estimateS: 'number',
  checkpointS: 'number',
  saveS: 'number',
  deadlineS: 'number?',
};

const MACHINE_TYPE: Record<string, Type> = {
  name: 'string',
  cpus: 'number',
  gpus: 'number',
  memoryGb: 'number',
  cacheGb: 'number',
  fetchGbPerS: 'number',
  price: 'number',
  spotPrice: 'number',
  bootS: 'number',
  zones: 'list',
};

/** View.apply keeps it by the key's last part, and Front, Leader and Part use its spec. */
export const job: Check = ([id], value) => {
  const spec = value.spec as Fields;
  return [
    ...wrongFields(value, { spec: 'object', at: 'number' }),
    ...wrongFields(spec, SPEC),
    ...objectionUnless(spec.id === id, 'the spec has another id than the key'),
    // rankOf: what it does not know would rank below all.
    ...objectionUnless(
      ['low', 'normal', 'high', 'production'].includes(String(spec.priority)),
      'no such priority',
    ),
  ];
};

/** Front.describeFinal: any other state would be told to the user as it is. */
const final: Check = (name, value) => [
  ...objectionUnless(name.length === 1, 'not one name'),
  ...wrongFields(value, { state: 'string', tasks: 'number' }),
  ...objectionUnless(['done', 'cancelled'].includes(String(value.state)), 'no such final state'),
];

/** readChunkKey, summarize and Tasks.fill: tasks are those in `ids`, never both done and live. */
export const chunk: Check = (name, value) => {
  const ids = rangesAsRead(String(value.ids));
  const done = rangesAsRead(String(value.done));
  const live = Object.entries((value.live ?? {}) as Record<string, unknown[]>);
  const own = new Set(ids);
  return [
    // Another length and the chunk is passed over, with its tasks.
    ...objectionUnless(name.length === 3, 'the key has not three names'),
    // A chunk's number orders it, and counts as a decimal.
    ...objectionUnless(Number.isFinite(Number(name[2])), 'its number is none'),
    ...wrongFields(value, { ids: 'string', done: 'string', live: 'object', team: 'string' }),
    ...wrongFields(value, { cpus: 'number', gpus: 'number', memoryGb: 'number', zone: 'string' }),
    ...objectionUnless(ids !== null && own.size === ids.length, 'ids are no ranges'),
    ...objectionUnless(
      done?.every((id) => own.has(id)) ?? false,
      'done ones are no ranges of its own',
    ),
    ...objectionUnless(
      live.every(
        ([id, one]) =>
          own.has(Number(id)) &&
          !(done?.includes(Number(id)) ?? true) &&
          one.length >= 2 &&
          typeof one[0] === 'string' &&
          Number.isSafeInteger(one[1]),
      ),
      'live ones are no placements of its own',
    ),
  ];
};

/** Machines.word: any other state would make the machine neither usable nor gone. */
const machine: Check = (name, value) => [
  ...objectionUnless(name.length === 1, 'not one name'),
  ...wrongFields(value, { type: 'string', zone: 'string', spot: 'boolean', at: 'number' }),
  ...objectionUnless(['rented', 'drain', 'gone'].includes(String(value.state)), 'no such state'),
];

/** Part.inherit (later Status.inherit) and Leader.machines. */
const status: Check = (name, value) => [
  // The older one counts its shards from 0, and writes each below that count anew.
  ...objectionUnless(name.length === 2 && /^\d+$/.test(name[1] ?? ''), 'no shard of a part'),
  ...wrongFields(value, { machines: 'object' }),
  ...Object.entries((value.machines ?? {}) as Record<string, unknown[]>).flatMap(
    ([one, [type, zone, spot, health]]) =>
      objectionUnless(
        typeof type === 'string' &&
          typeof zone === 'string' &&
          (spot === 0 || spot === 1) &&
          ['ok', 'leaving', 'silent', 'faulty'].includes(String(health)),
        `${one} is no machine`,
      ),
  ),
];

/** Roles.owned, claimRecord and fenceAt. */
const role: Check = (name, value) => [
  ...objectionUnless(name.length === 1, 'not one name'),
  ...wrongFields(value, {
    owner: 'string',
    incarnation: 'string',
    term: 'number',
    movedAt: 'number',
  }),
];

/** Roles.isLive. */
const node: Check = (name, value) => [
  ...objectionUnless(name.length === 1, 'not one name'),
  ...wrongFields(value, { incarnation: 'string' }),
];

/** Bandit.restore of 89f79d3, which is asked of every key below a part's arms. */
export const arm: Check = ([, type = ''], value) => {
  const objections = wrongFields(value, { classes: 'list', types: 'list', a: 'list', b: 'list' });
  if (objections.length > 0) return objections;
  const types = value.types as string[];
  // Other types than its own: passed over. No version has none.
  if (types.length === 0) return [];
  // Twenty classes, one for all others, and for each type its load and itself.
  const size = 21 + 2 * types.length;
  const a = value.a as [number, number, number][];
  const b = value.b as [number, number][];
  const diagonal = new Set(
    a.filter(([row, column, one]) => row === column && one > 0).map(([row]) => row),
  );
  return [
    // It takes the key's last part for the type, whatever it is.
    ...objectionUnless(types.includes(type), 'restored for a type that there is not'),
    // It sets cells of a matrix of this size and inverts it at once: both throw.
    ...objectionUnless(
      [...a.flatMap(([row, column]) => [row, column]), ...b.map(([row]) => row)].every(
        (at) => at < size,
      ),
      'cells outside of the matrix',
    ),
    ...objectionUnless(diagonal.size === size, 'the matrix can not be inverted'),
    ...objectionUnless((value.classes as unknown[]).length <= 20, 'too many classes'),
  ];
};

/** Part.types and Machines.type: this key only. What is below it has the same kind, read by none. */
export const catalog: Check = (name, value) =>
  name.length > 0
    ? []
    : [
        ...objectionUnless(Array.isArray(value) && value.length > 0, 'no list of types'),
        ...(Array.isArray(value) ? value : []).flatMap((type) => wrongFields(type, MACHINE_TYPE)),
      ];

/** The checks of both versions, by the kind in the key. */
export const CHECKS: Record<string, Check> = {
  job,
  chunk,
  machine,
  status,
  role,
  node,
  arm,
  catalog,
};

/** View.apply: what is in neither place is passed over, so nothing may be kept there. */
export function objectionsBy(checks: Record<string, Check>, key: string, value: unknown): string[] {
  if (key.startsWith('mb/final/')) return final(key.split('/').slice(2), value as Fields);
  if (!key.startsWith('mb/live/')) return ['outside of what it reads'];
  const [kind = '', ...name] = key.split('/').slice(2);
  return checks[kind]?.(name, value as Fields) ?? ['a kind that it does not know'];
}
