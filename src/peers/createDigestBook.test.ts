import { createDigestBook } from './createDigestBook';
import type { DomainDigest } from './peer';

const digest = (failureDomain: string, heardAgoMs: number): DomainDigest => ({
  failureDomain,
  members: [{ vm: `${failureDomain}1`, incarnation: 'x', isAccepting: true, heardAgoMs }],
  work: { servers: new Map(), crossingPerMs: 0 },
});

describe('createDigestBook', () => {
  it('hands on the newest of each other domain, aged by the time that it was kept', () => {
    let nowMs = 0;
    const book = createDigestBook(() => nowMs, 3_000);
    book.learn(digest('a', 10));
    book.learn(digest('b', 500));
    nowMs = 100;
    book.learn(digest('b', 20));
    nowMs = 400;
    expect(book.listFar('a')).toEqual([digest('b', 320)]);
  });

  it('hands on nothing that is too old', () => {
    let nowMs = 0;
    const book = createDigestBook(() => nowMs, 3_000);
    book.learn(digest('b', 0));
    nowMs = 3_000;
    expect(book.listFar('a')).toEqual([]);
  });
});
