/** The two older versions that exchange records with this one, and what each of them can read. */
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

/** An older version as a reader of records. */
interface OlderVersion {
  commit: string;
  /**
   * Returns what the version would misread or fail on; empty if it reads the record or skips it.
   */
  objections: (key: string, value: unknown) => string[];
}

/** The version in production, which has no gangs. */
const PRODUCTION: OlderVersion = {
  commit: '89f79d3',
  objections: (key, value) => objectionsBy(CHECKS, key, value),
};

/** The version with gangs, which splits chunks, arms and the catalogue into several records each. */
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
            'kind must be array, service or gang',
          ),
        ],
        // GangShares: a chunk with an attempt is a gang subset, and `stopping` ends the subset.
        chunk: (name, record) => [
          ...chunk(name, record),
          ...objectionUnless(
            record.attempt === undefined || Number.isSafeInteger(record.attempt),
            'attempt must be an integer',
          ),
          ...objectionUnless(
            record.stopping === undefined || record.stopping === true,
            'stopping must be true',
          ),
          ...objectionUnless(
            record.attempt === undefined ||
              Object.values(record.live as Record<string, unknown[]>).every(
                ([, attempt]) => attempt === record.attempt,
              ),
            'all live tasks of a gang must have its attempt',
          ),
        ],
        // Bandit.restore also reads TYPE+1, TYPE+2 and so on: as many records as the main one says, and
        // only those with its stamp.
        arm: ([part = '', last = ''], record) => {
          const [, type = '', at] = /^(.*)\+(\d+)$/.exec(last) ?? [null, last];
          if (at === undefined) {
            return [
              ...arm([part, type], record),
              ...objectionUnless(
                (record.stamp === undefined) === (record.further === undefined),
                'stamp and further must come together',
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
              'a further record must have no types',
            ),
          ];
        },
        // readCatalog joins the types of all catalogue records.
        catalog: (name, record) => (name.length > 1 ? ['more than one name'] : catalog([], record)),
      },
      key,
      value,
    ),
};

/** Both older versions, the oldest first. */
export const OLDER_VERSIONS = [PRODUCTION, WITH_GANGS];
