import { createListedServer } from '../chains/testEngine';
import type { BackendProtocol } from '../gateway/backendProtocol';
import { createBackendView } from './createBackendView';

const LEARNING_MS = 2_000;

/** Ends of servers after which a request is refused. */
const ENDS = ['x', 'y', 'z'];

const CONTENTS = ['request:bad'];

function createView() {
  let found: 'accepted' | 'refused' = 'accepted';
  const view = createBackendView({
    vm: 'vm-0',
    vms: () => ['vm-0', 'vm-1'],
    hasReachingPeers: () => true,
    protocol: { checkConnection: () => Promise.resolve(found) } as unknown as BackendProtocol,
    catalog: () => undefined,
    isLate: () => false,
    now: () => performance.now(),
    log: () => undefined,
    count: () => undefined,
  });
  view.registry.list(['s1', 's2', ...ENDS].map((id) => createListedServer(id, { bornMs: 1 })));
  return {
    ...view,
    setReachable: (isReachable: boolean) => {
      found = isReachable ? 'accepted' : 'refused';
    },
  };
}

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

describe('createBackendView', () => {
  it('does not take the end of a partition for answers of servers that other VMs saw end', async () => {
    const { registry, partition, contentSuspicions, setReachable } = createView();
    setReachable(false);
    void partition.verify();
    await jest.advanceTimersByTimeAsync(LEARNING_MS);
    expect(partition.isPartitioned()).toBe(true);
    for (const id of ENDS) registry.suspect(id, 'refused', 'connect ECONNREFUSED');
    contentSuspicions.merge([
      {
        content: CONTENTS[0] ?? '',
        servers: ENDS.map((id) => `${id}/1`),
        disproved: [],
        ageMs: 0,
      },
    ]);
    setReachable(true);
    void partition.recheck();
    await jest.advanceTimersByTimeAsync(LEARNING_MS);
    expect([partition.isPartitioned(), registry.suspicions()]).toEqual([false, []]);
    expect(contentSuspicions.heldMs(CONTENTS)).toBeGreaterThan(0);
  });

  it('takes the answer of a server for a proof that it has not ended', () => {
    const { registry, contentSuspicions } = createView();
    for (const id of ENDS) {
      contentSuspicions.recordLoss({ id, bornMs: 1 }, CONTENTS);
      contentSuspicions.merge([
        { content: CONTENTS[0] ?? '', servers: [`${id}/1`], disproved: [], ageMs: 0 },
      ]);
    }
    expect(contentSuspicions.heldMs(CONTENTS)).toBeGreaterThan(0);
    registry.suspect('x', 'silent');
    registry.clearSuspicion('x');
    expect(contentSuspicions.heldMs(CONTENTS)).toBe(0);
  });
});
