/** The two older versions that records pass to and from, and what each needs of them. */
import {
  CHECKS,
  arm,
  catalog,
  chunk,
  job,
  objectionsBy,
  objectionUnless,
  wrongFields,
  type Fields,
} from './older-checks.js';

/** A version before this one, as a reader of records. */
interface OlderVersion {
  commit: string;
  /** What it would read wrongly, or fail on; none: it reads the record, or passes it over. */
  objections: (key: string, value: unknown) => string[];
}

/** In production: before gangs. */
const PRODUCTION: OlderVersion = {
  commit: '89f79d3',
  objections: (key, value) => objectionsBy(CHECKS, key, value),
};

/** With gangs, with chunks, arms and the catalogue in several records each. */
const WITH_GANGS: OlderVersion = {
  commit: 'df7a3ba',
  objections: (key, value) =>
    objectionsBy(
      {
        ...CHECKS,
        job: (name, record) => [
          ...job(name, record),
          ...objectionUnless(
            ['array', 'service', 'gang'].includes(String((record.spec as Fields).kind)),
            'no such kind',
          ),
        ],
        // GangShares: an attempt makes the chunk a gang's share, and `stopping` ends it.
        chunk: (name, record) => [
          ...chunk(name, record),
          ...objectionUnless(
            record.attempt === undefined || Number.isSafeInteger(record.attempt),
            'attempt is no number',
          ),
          ...objectionUnless(
            record.stopping === undefined || record.stopping === true,
            'stopping is no true',
          ),
          ...objectionUnless(
            record.attempt === undefined ||
              Object.values(record.live as Record<string, unknown[]>).every(
                ([, attempt]) => attempt === record.attempt,
              ),
            'a task of a gang has another attempt',
          ),
        ],
        // Bandit.restore asks for TYPE+1 and so on, as many as the main record says, of its stamp.
        arm: ([part = '', last = ''], record) => {
          const [, type = '', at] = /^(.*)\+(\d+)$/.exec(last) ?? [null, last];
          if (at === undefined) {
            return [
              ...arm([part, type], record),
              ...objectionUnless(
                (record.stamp === undefined) === (record.further === undefined),
                'stamp and further not together',
              ),
            ];
          }
          return [
            ...wrongFields(record, {
              stamp: 'number',
              moreClasses: 'list',
              moreA: 'list',
              moreB: 'list',
            }),
            ...objectionUnless(
              (record.types as unknown[]).length === 0,
              'a further record with types',
            ),
          ];
        },
        // readCatalog takes all of them together.
        catalog: (name, record) => (name.length > 1 ? ['not one name'] : catalog([], record)),
      },
      key,
      value,
    ),
};

/** Both, the older one first. */
export const OLDER = [PRODUCTION, WITH_GANGS];
