import { createListedServer } from '../../chains/testEngine';
import type { ListedServer } from '../../chains/layerEngine';
import { createContentSuspicions } from '../../gateway/createContentSuspicions';
import type { ContentSuspicions } from '../../gateway/contentSuspicions';
import { createFirstEventDelays } from '../../gateway/createFirstEventDelays';
import { createServerRegistry } from '../../gateway/createServerRegistry';
import { createPeerRecord } from '../../peers/testPeer';
import { createPeerGroup } from './createPeerGroup';
import { findTestPorts } from './findTestPorts';
import { shareContentSuspicions } from './shareContentSuspicions';

/** From 16 VMs on, VMs send to the relays of their failure domain only. */
const FLEET_SIZE = 18;

const now = (): number => performance.now();
const noop = (): void => undefined;

const servers = ['x', 'y', 'z'].map((id) => createListedServer(id, { bornMs: 1 }));

interface Vm {
  readonly suspicions: ContentSuspicions;
  readonly crash: (server: ListedServer, content: string) => void;
}

let vms: readonly Vm[] = [];
let closers: readonly (() => void)[] = [];

/** Allows for slow propagation on a busy machine; no expectation depends on it. */
jest.setTimeout(60_000);

beforeEach(async () => {
  const ports = await findTestPorts(FLEET_SIZE);
  const records = ports.map((port, index) =>
    createPeerRecord(`vm-${10 + index}`, {
      peerAddress: `127.0.0.1:${port}`,
      failureDomain: index % 2 === 0 ? 'a' : 'b',
    }),
  );
  const members = records.map((self) => {
    const registry = createServerRegistry({
      now,
      firstEventDelays: createFirstEventDelays(now),
      log: noop,
    });
    registry.list(servers);
    const suspicions = createContentSuspicions({ registry, now, log: noop, count: noop });
    const peers = createPeerGroup({
      self,
      registry,
      isAccepting: () => true,
      onSuspected: noop,
      onRecovered: noop,
      onDatagram: (datagram) => {
        sharing.receive(datagram);
      },
      now,
      log: noop,
    });
    const sharing = shareContentSuspicions(suspicions, peers);
    peers.setRecords(records);
    const crash = (server: ListedServer, content: string): void => {
      suspicions.recordLoss(server, [content]);
      registry.suspect(server.id, 'refused');
    };
    const close = (): void => {
      sharing.close();
      peers.close();
    };
    return { suspicions, crash, close };
  });
  vms = members;
  closers = members.map(({ close }) => close);
});

afterEach(() => {
  for (const close of closers) close();
});

/** Waits for a condition until the test times out. */
async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 10));
}

describe('shareContentSuspicions', () => {
  it('has all VMs of a large fleet refuse a content of which each VM saw one crash at most', async () => {
    servers.forEach((server, index) => vms[5 * index]?.crash(server, 'request:bad'));
    const isRefused = ({ suspicions }: Vm): boolean => suspicions.heldMs(['request:bad']) > 0;
    await waitUntil(() => vms.every(isRefused));
    expect(vms.map(isRefused)).toEqual(vms.map(() => true));
  });

  it('has all VMs run a content again that one has seen run without harm', async () => {
    for (const server of servers) vms[0]?.crash(server, 'request:sound');
    const isRefused = ({ suspicions }: Vm): boolean => suspicions.heldMs(['request:sound']) > 0;
    await waitUntil(() => vms.every(isRefused));
    vms[FLEET_SIZE - 1]?.suspicions.recordHarmlessRun(['request:sound']);
    await waitUntil(() => !vms.some(isRefused));
    expect(vms.some(isRefused)).toBe(false);
  });
});
