/** Limits and times of the small deployment in Bratislava, as BRIEF gives them. */

/** Three controllers; the second one is alone in its zone. */
export const NODES = [
  ['moth-0', 'petrzalka'],
  ['moth-1', 'kosice-east'],
  ['moth-2', 'petrzalka'],
];

export const TYPES = [
  {
    label: 'tatra-node',
    cores: 4,
    gpus: 0,
    memGb: 16,
    cacheGb: 70,
    pullGbPerS: 1,
    rate: 0.21,
    lowPrice: 0.1,
    bootS: 50,
    groves: ['petrzalka', 'kosice-east'],
  },
];

export const PARAMS = {
  zones: ['petrzalka', 'kosice-east'],
  teams: [
    { name: 'index-team', cpus: 24, cpus_max: 64, gpus: 0, gpus_max: 0 },
    { name: 'build-team', cpus: 48, cpus_max: 96, gpus: 0, gpus_max: 0 },
    { name: 'security-team', cpus: 40, cpus_max: 72, gpus: 0, gpus_max: 0 },
  ],
  workers: { report_s: 3, lease_s: 26, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 51 },
  state: { rps: 80, write_rps: 25, value_kb: 8, txn_ops: 8 },
  cloud: { rps: 5, list_lag_s: 4 },
  resources: { cores: 0.136, mem_mb: 178, fd_limit: 1000 },
};

/** Fields of a task of `verify-batch`. */
export const VERIFY = {
  lane: 'verify-batch',
  crew: 'build-team',
  cores: 1,
  memGb: 3.4,
  cocoon: 'img-verify',
  imageGb: 0.5,
  guessS: 25,
};

/** Fields of a job of `index-serve`. */
export const INDEX = {
  lane: 'index-serve',
  crew: 'index-team',
  shape: 'standing',
  rank: 'urgent',
  cores: 2,
  memGb: 4.6,
  cocoon: 'img-index',
  imageGb: 0.5,
  guessS: 0,
};
