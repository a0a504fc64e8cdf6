import { createRandom } from '../random/createRandom';
import { chooseServer, type Candidate } from './chooseServer';

function countChoices(candidates: readonly Candidate[], server: string): number {
  const random = createRandom(1);
  return Array.from({ length: 300 }, () => chooseServer(candidates, random)).filter(
    (chosen) => chosen === server,
  ).length;
}

describe('chooseServer', () => {
  it('returns undefined without candidates', () => {
    expect(chooseServer([], createRandom(1))).toBeUndefined();
  });

  it('prefers an idle server to a busy one and to one with a reduced weight', () => {
    const idle = { server: 'idle', weight: 1, inFlight: 0 };
    expect(countChoices([idle, { server: 'busy', weight: 1, inFlight: 9 }], 'busy')).toBeLessThan(
      100,
    );
    expect(countChoices([idle, { server: 'new', weight: 0.1, inFlight: 0 }], 'new')).toBeLessThan(
      100,
    );
  });
});
