import { createListedServer } from '../chains/testEngine';
import type { SuspicionReason } from './createSuspicions';
import { listSilentlyGone } from './listSilentlyGone';

const server = createListedServer('a', { bornMs: 1 });
const suspect = (reason: SuspicionReason, bornMs = 1) => [{ id: 'a', bornMs, sinceMs: 0, reason }];
const listed = (...servers: readonly (typeof server)[]) =>
  new Map(servers.map((one) => [one.id, one]));

describe('listSilentlyGone', () => {
  it.each([
    ['has left the list', listed(), ['a']],
    ['has started again', listed({ ...server, bornMs: 2 }), ['a']],
    ['is still listed', listed(server), []],
  ])('a silent server that %s', (_, next, expected) => {
    const gone = listSilentlyGone(suspect('silent'), listed(server), next);
    expect(gone.map(({ id }) => id)).toEqual(expected);
  });

  it('leaves out servers that left with notice, that answered, and that are known to have ended', () => {
    const draining = { ...server, isDraining: true };
    expect(listSilentlyGone(suspect('silent'), listed(draining), listed())).toEqual([]);
    expect(listSilentlyGone([], listed(server), listed())).toEqual([]);
    expect(listSilentlyGone(suspect('refused'), listed(server), listed())).toEqual([]);
    expect(listSilentlyGone(suspect('silent', 0), listed(server), listed())).toEqual([]);
  });
});
