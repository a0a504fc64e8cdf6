import { createListedServer } from '../chains/testEngine';
import { checkReportedServers } from './checkReportedServers';

function createChecks(suspected: readonly string[]) {
  const checked: string[] = [];
  const checks = checkReportedServers(
    {
      find: (id) => createListedServer(id, { bornMs: 5 }),
      suspicions: () =>
        suspected.map((id) => ({ id, bornMs: 5, sinceMs: 0, reason: 'silent' as const })),
    },
    {
      check: (id) => {
        checked.push(id);
        return Promise.resolve();
      },
    },
  );
  return { ...checks, checked };
}

describe('checkReportedServers', () => {
  it('checks the incarnation that a peer suspects, unless it is suspected already', () => {
    const { onSuspected, checked } = createChecks(['known']);
    onSuspected('a', 5);
    onSuspected('a', 4);
    onSuspected('known', 5);
    expect(checked).toEqual(['a']);
  });

  it('checks a suspected server that a relay no longer reports', () => {
    const { onRecovered, checked } = createChecks(['known']);
    onRecovered('known');
    onRecovered('a');
    expect(checked).toEqual(['known']);
  });
});
