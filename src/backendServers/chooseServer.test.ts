import { createRandom } from '../random/createRandom';
import { chooseServer, type Candidate } from './chooseServer';

function count(candidates: readonly Candidate[], server: string): number {
  const random = createRandom(1);
  return Array.from({ length: 300 }, () => chooseServer(candidates, random)).filter(
    (chosen) => chosen === server,
  ).length;
}

describe('chooseServer', () => {
  it('gives none where there is none', () => {
    expect(chooseServer([], createRandom(1))).toBeUndefined();
  });

  it('spares the busy server and the one that is let back in', () => {
    const idle = { server: 'idle', weight: 1, inFlight: 0 };
    expect(count([idle, { server: 'busy', weight: 1, inFlight: 9 }], 'busy')).toBeLessThan(100);
    expect(count([idle, { server: 'new', weight: 0.1, inFlight: 0 }], 'new')).toBeLessThan(100);
  });
});
