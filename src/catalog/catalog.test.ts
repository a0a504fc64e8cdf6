import { authorize } from './authorize';
import type { Catalog, RouteRule } from './catalog';
import { elapsedMs, computeConfirmedTime, computeRelayedConfirmedTime } from './confirmation';
import { matchRoute } from './matchRoute';
import { pickService } from './pickService';

const rule = (prefix: string, more: Partial<RouteRule> = {}): RouteRule => ({
  name: prefix,
  host: 'desk.example',
  prefix,
  form: 'call',
  isIdempotent: true,
  isResumable: false,
  timeoutMs: 800,
  targetMs: 100,
  targetGapMs: 0,
  maxAttempts: 2,
  isPublic: false,
  priority: 1,
  shares: [{ service: 'app', weight: 1 }],
  ...more,
});

const catalog: Catalog = {
  version: 3,
  routes: new Map([['desk.example', [rule('/jobs/status/'), rule('/jobs/')]]]),
  services: new Map(),
  credentials: new Map([['k1', { workspace: 'shop-1', priority: 2 }]]),
  hasWorkspaces: true,
  limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

describe('matchRoute', () => {
  it('prefers the longest prefix and ignores port and query', () => {
    expect(matchRoute(catalog, 'desk.example:80', '/jobs/status/7?x=/')?.name).toBe(
      '/jobs/status/',
    );
    expect(matchRoute(catalog, 'DESK.example', '/jobs/7')?.name).toBe('/jobs/');
  });

  it('finds no route for another host or path', () => {
    expect(matchRoute(catalog, 'other.example', '/jobs/7')).toBeUndefined();
    expect(matchRoute(catalog, 'desk.example', '/jobs')).toBeUndefined();
  });
});

describe('authorize', () => {
  it('names the workspace of a credential', () => {
    expect(authorize(catalog, rule('/jobs/'), 'Bearer k1')).toEqual({
      type: 'allowed',
      credential: { workspace: 'shop-1', priority: 2 },
    });
  });

  it('denies an unpublished credential and a missing one', () => {
    expect(authorize(catalog, rule('/jobs/'), 'Bearer k2').type).toBe('denied');
    expect(authorize(catalog, rule('/jobs/'), undefined).type).toBe('denied');
  });

  it('asks for no credential on a public route', () => {
    const open = rule('/jobs/', { isPublic: true });
    expect(authorize(catalog, open, undefined).type).toBe('allowed');
  });
});

describe('pickService', () => {
  it('splits by weight and picks the same service for the same request', () => {
    const shares = [
      { service: 'old', weight: 90 },
      { service: 'new', weight: 10 },
    ];
    const picks = Array.from({ length: 1_000 }, (_, index) =>
      pickService(rule('/', { shares }), `request-${index}`),
    );
    const fresh = picks.filter((service) => service === 'new').length;
    expect(fresh).toBeGreaterThan(60);
    expect(fresh).toBeLessThan(150);
    expect(pickService(rule('/', { shares }), 'request-1')).toBe(picks[1]);
  });

  it('picks no service if no share has a weight', () => {
    const shares = [
      { service: 'x', weight: 0 },
      { service: 'y', weight: 0 },
    ];
    expect(pickService(rule('/', { shares }), 'r')).toBeUndefined();
  });
});

describe('elapsedMs', () => {
  it('counts a suspension, which the monotonic clock does not', () => {
    const since = { monotonicMs: 1_000, wallMs: 50_000 };
    expect(elapsedMs(since, { monotonicMs: 1_100, wallMs: 57_100 })).toBe(7_100);
  });

  it('is not shortened by a wall clock that steps back', () => {
    const since = { monotonicMs: 1_000, wallMs: 50_000 };
    expect(elapsedMs(since, { monotonicMs: 4_000, wallMs: 48_000 })).toBe(3_000);
  });
});

describe('computeConfirmedTime', () => {
  const sent = { monotonicMs: 10_000, wallMs: 70_000 };

  it('counts the wait, less the time for which the store may withhold changes', () => {
    expect(computeConfirmedTime(sent, 2_500)).toEqual({ monotonicMs: 11_500, wallMs: 71_500 });
    expect(computeConfirmedTime(sent, 600)).toEqual({ monotonicMs: 9_600, wallMs: 69_600 });
  });

  it('ages during a suspension before the answer is read', () => {
    const known = computeConfirmedTime(sent, 2_500);
    expect(elapsedMs(known, { monotonicMs: 10_500, wallMs: 77_500 })).toBe(6_000);
  });
});

describe('computeRelayedConfirmedTime', () => {
  it('counts back from the earliest time at which the other VM can have answered', () => {
    const sent = { monotonicMs: 10_000, wallMs: 70_000 };
    const known = computeRelayedConfirmedTime(sent, { heldMs: 900, agoMs: 2_100 });
    expect(known).toEqual({ monotonicMs: 8_800, wallMs: 68_800 });
  });
});
