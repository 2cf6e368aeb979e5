/**
 * Checks whether the two older versions can read a stored record. The requirements follow the code of
 * those versions, and the comments name its files, classes and functions. Keys and fields are literals
 * here because stored names never change.
 */

/** A record as it is stored. */
export type Fields = Record<string, unknown>;

/** Returns what is wrong with a record; `name` holds the parts of its key after the kind. */
export type Check = (name: string[], value: Fields) => string[];
/** The type of a stored field; with "?" the field may also be null. */
type Type = 'string' | 'number' | 'boolean' | 'object' | 'list' | 'string?' | 'number?' | 'list?';

function hasType(type: Type, one: unknown): boolean {
  if (type.endsWith('?')) return one === null || hasType(type.slice(0, -1) as Type, one);
  if (type === 'list') return Array.isArray(one);
  if (type === 'object') return typeof one === 'object' && one !== null && !Array.isArray(one);
  if (type === 'number') return Number.isFinite(one);
  return typeof one === type;
}

/** Returns the fields that are missing or of another type. No version reads any further fields. */
export const wrongFields = (value: unknown, types: Record<string, Type>): string[] =>
  Object.entries(types)
    .filter(([field, type]) => !hasType(type, (value as Fields | null)?.[field]))
    .map(([field, type]) => `${field} must be a ${type}`);

/** Returns the objection unless the condition holds. */
export const objectionUnless = (condition: boolean, objection: string): string[] =>
  condition ? [] : [objection];

/** Parses ranges as bookkeeping/ranges.ts of both versions does; null: it would misread the text. */
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

/**
 * JobSpec in protocol/terms.ts. Both versions use every field without a check; only fields whose type
 * here ends with "?" may be null.
 */
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

/** A machine type of the catalogue. */
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

/** A job: View.apply stores it by the last part of its key; Front, Leader and Part use its spec. */
export const job: Check = ([id], value) => {
  const spec = value.spec as Fields;
  return [
    ...wrongFields(value, { spec: 'object', at: 'number' }),
    ...wrongFields(spec, SPEC),
    ...objectionUnless(spec.id === id, 'the id of the spec must be that in the key'),
    // rankOf ranks an unknown priority below all others.
    ...objectionUnless(
      ['low', 'normal', 'high', 'production'].includes(String(spec.priority)),
      'priority must be one of the four known ones',
    ),
  ];
};

/** An ended job: Front.describeFinal would send any other state unchanged to the user. */
const final: Check = (name, value) => [
  ...objectionUnless(name.length === 1, 'the key must have one name'),
  ...wrongFields(value, { state: 'string', tasks: 'number' }),
  ...objectionUnless(
    ['done', 'cancelled'].includes(String(value.state)),
    'state must be done or cancelled',
  ),
];

/**
 * An assignment, named chunk in these versions, as readChunkKey, summarize and Tasks.fill read it. Its
 * tasks are those in `ids`; none of them is both done and live.
 */
export const chunk: Check = (name, value) => {
  const ids = rangesAsRead(String(value.ids));
  const done = rangesAsRead(String(value.done));
  const live = Object.entries((value.live ?? {}) as Record<string, unknown[]>);
  const own = new Set(ids);
  return [
    // A chunk whose key has another number of names is skipped together with its tasks.
    ...objectionUnless(name.length === 3, 'the key must have three names'),
    // Chunks are ordered by their number, which is parsed as a decimal.
    ...objectionUnless(Number.isFinite(Number(name[2])), 'the third name must be a number'),
    ...wrongFields(value, { ids: 'string', done: 'string', live: 'object', team: 'string' }),
    ...wrongFields(value, { cpus: 'number', gpus: 'number', memoryGb: 'number', zone: 'string' }),
    ...objectionUnless(
      ids !== null && own.size === ids.length,
      'ids must be ranges without duplicates',
    ),
    ...objectionUnless(done?.every((id) => own.has(id)) ?? false, 'done must be ranges of the ids'),
    ...objectionUnless(
      live.every(
        ([id, one]) =>
          own.has(Number(id)) &&
          !(done?.includes(Number(id)) ?? true) &&
          one.length >= 2 &&
          typeof one[0] === 'string' &&
          Number.isSafeInteger(one[1]),
      ),
      'live must hold placements of ids that are not done',
    ),
  ];
};

/** A machine: with any other state, Machines.word would treat it as neither usable nor gone. */
const machine: Check = (name, value) => [
  ...objectionUnless(name.length === 1, 'the key must have one name'),
  ...wrongFields(value, { type: 'string', zone: 'string', spot: 'boolean', at: 'number' }),
  ...objectionUnless(
    ['rented', 'drain', 'gone'].includes(String(value.state)),
    'state must be rented, drain or gone',
  ),
];

/** The machine states of a shard, as read by Part.inherit (later Status.inherit) and Leader.machines. */
const status: Check = (name, value) => [
  // The older version splits these states of a part into records that it numbers from 0, and rewrites
  // each record whose number is below their count.
  ...objectionUnless(
    name.length === 2 && /^\d+$/.test(name[1] ?? ''),
    'the key must have a part and a number',
  ),
  ...wrongFields(value, { machines: 'object' }),
  ...Object.entries((value.machines ?? {}) as Record<string, unknown[]>).flatMap(
    ([one, [type, zone, spot, health]]) =>
      objectionUnless(
        typeof type === 'string' &&
          typeof zone === 'string' &&
          (spot === 0 || spot === 1) &&
          ['ok', 'leaving', 'silent', 'faulty'].includes(String(health)),
        `${one} must hold type, zone, spot and health`,
      ),
  ),
];

/** A role, as read by Roles.owned, claimRecord and fenceAt. */
const role: Check = (name, value) => [
  ...objectionUnless(name.length === 1, 'the key must have one name'),
  ...wrongFields(value, {
    owner: 'string',
    incarnation: 'string',
    term: 'number',
    movedAt: 'number',
  }),
];

/** The registration of a controller, as read by Roles.isLive. */
const node: Check = (name, value) => [
  ...objectionUnless(name.length === 1, 'the key must have one name'),
  ...wrongFields(value, { incarnation: 'string' }),
];

/** A bandit arm: Bandit.restore of 89f79d3 reads the record of every key below a part's arms. */
export const arm: Check = ([, type = ''], value) => {
  const objections = wrongFields(value, { classes: 'list', types: 'list', a: 'list', b: 'list' });
  if (objections.length > 0) return objections;
  const types = value.types as string[];
  // Bandit.restore skips a record for machine types other than the version's own. Every version has
  // types, so a record without types is always skipped.
  if (types.length === 0) return [];
  // Rows of the matrix: 20 classes, one for all other classes, and for each type its load and itself.
  const size = 21 + 2 * types.length;
  const a = value.a as [number, number, number][];
  const b = value.b as [number, number][];
  const diagonal = new Set(
    a.filter(([row, column, one]) => row === column && one > 0).map(([row]) => row),
  );
  return [
    // Bandit.restore uses the last part of the key as the type without checking it.
    ...objectionUnless(types.includes(type), 'the last part of the key must be one of its types'),
    // Bandit.restore sets the cells of a matrix of this size and then inverts the matrix. A cell outside
    // of the matrix throws, and so does a matrix that cannot be inverted.
    ...objectionUnless(
      [...a.flatMap(([row, column]) => [row, column]), ...b.map(([row]) => row)].every(
        (at) => at < size,
      ),
      'all cells must be inside the matrix',
    ),
    ...objectionUnless(diagonal.size === size, 'the matrix must be invertible'),
    ...objectionUnless(
      (value.classes as unknown[]).length <= 20,
      'there must be at most 20 classes',
    ),
  ];
};

/**
 * The catalogue: Part.types and Machines.type read this key only. Keys below it have the same kind, but
 * 89f79d3 does not read their records.
 */
export const catalog: Check = (name, value) =>
  name.length > 0
    ? []
    : [
        ...objectionUnless(
          Array.isArray(value) && value.length > 0,
          'must be a list of at least one type',
        ),
        ...(Array.isArray(value) ? value : []).flatMap((type) => wrongFields(type, MACHINE_TYPE)),
      ];

/** The checks that both versions start from, by the kind in the key. */
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

/**
 * Applies the check for a record's key. View.apply skips records below neither mb/final/ nor mb/live/,
 * so this version may store nothing elsewhere.
 */
export function objectionsBy(checks: Record<string, Check>, key: string, value: unknown): string[] {
  if (key.startsWith('mb/final/')) return final(key.split('/').slice(2), value as Fields);
  if (!key.startsWith('mb/live/')) return ['the key must be below mb/final/ or mb/live/'];
  const [kind = '', ...name] = key.split('/').slice(2);
  return checks[kind]?.(name, value as Fields) ?? ['the version has no such kind'];
}
