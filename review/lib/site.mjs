/** The configuration of a small deployment: the calls of kbw-bench, on a host of the stand-ins. */

export const SITE_HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';
export const SERVICE = 'counter-app';

/** Prefixes of the two routes. */
export const BOOKING = '/puxa403/';
export const STATUS = '/cufi504/';

/** Deadline of the clients for both, from the sheet, milliseconds. */
export const DEADLINE_MS = 1_500;

export function createConfiguration({ version = 1, tenants, isPublic = false } = {}) {
  const common = {
    host: SITE_HOST,
    timeoutMs: 800,
    targetLatencyMs: 121,
    priority: 2,
    public: isPublic,
  };
  return {
    version,
    routes: [
      {
        ...common,
        name: 'r-book',
        prefix: BOOKING,
        kind: 'unsafe',
        maxAttempts: 1,
        service: SERVICE,
      },
      {
        ...common,
        name: 'r-job',
        prefix: STATUS,
        kind: 'safe',
        maxAttempts: 2,
        service: SERVICE,
      },
    ],
    services: [
      { name: SERVICE, healthPath: '/health', maxConnections: 96, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: tenants ?? [{ name: TENANT, apiKeys: [KEY] }],
  };
}

/** @returns the headers of a client's request */
export function createHeaders(id, key = KEY) {
  return { Host: SITE_HOST, 'X-Request-Id': id, Authorization: `Bearer ${key}` };
}
