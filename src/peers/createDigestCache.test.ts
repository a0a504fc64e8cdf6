import { createDigestCache } from './createDigestCache';
import type { DomainDigest } from './peer';

const digest = (failureDomain: string, heardAgoMs: number): DomainDigest => ({
  failureDomain,
  members: [{ vm: `${failureDomain}1`, incarnation: 'x', isAccepting: true, heardAgoMs }],
  work: { servers: new Map(), crossingPerMs: 0 },
});

describe('createDigestCache', () => {
  it('lists the newest digest of each other domain, aged by the time in the cache', () => {
    let nowMs = 0;
    const cache = createDigestCache(() => nowMs, 3_000);
    cache.record(digest('a', 10));
    cache.record(digest('b', 500));
    nowMs = 100;
    cache.record(digest('b', 20));
    nowMs = 400;
    expect(cache.listOtherDomains('a')).toEqual([digest('b', 320)]);
  });

  it('leaves out expired digests', () => {
    let nowMs = 0;
    const cache = createDigestCache(() => nowMs, 3_000);
    cache.record(digest('b', 0));
    nowMs = 3_000;
    expect(cache.listOtherDomains('a')).toEqual([]);
  });
});
