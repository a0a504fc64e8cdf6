import { createServerRegistry } from '../../gateway/createServerRegistry';
import type { ServerRegistry } from '../../gateway/serverRegistry';
import { createFirstEventDelays } from '../../gateway/createFirstEventDelays';
import type { PeerRecord } from '../../peers/peer';
import { createListedServer } from '../../chains/testEngine';
import { createPeerRecord } from '../../peers/testPeer';
import { createPeerGroup } from './createPeerGroup';
import { findTestPorts } from './findTestPorts';
import type { PeerGroup } from './createPeerGroup';

interface Member {
  readonly record: PeerRecord;
  readonly registry: ServerRegistry;
  readonly group: PeerGroup;
}

const now = (): number => performance.now();

function startMember(record: PeerRecord, suspectReports: string[]): Member {
  const registry = createServerRegistry({
    now,
    firstEventDelays: createFirstEventDelays(now),
    log: () => undefined,
  });
  const group = createPeerGroup({
    self: record,
    registry,
    isAccepting: () => true,
    onSuspected: (id) => suspectReports.push(`${record.vm} ${id}`),
    onRecovered: () => undefined,
    onDatagram: (datagram) => datagrams.push(`${record.vm} ${Buffer.from(datagram).toString()}`),
    now,
    log: () => undefined,
  });
  return { record, registry, group };
}

/** Waits for a condition until the test times out. */
async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 10));
}

/** Allows for slow propagation on a busy machine; no assertion depends on it. */
jest.setTimeout(60_000);

let members: readonly Member[] = [];
const suspectReports: string[] = [];
const datagrams: string[] = [];

beforeEach(async () => {
  const ports = await findTestPorts(18);
  const records = ports.map((port, index): PeerRecord => {
    const failureDomain = index % 2 === 0 ? 'a' : 'b';
    return createPeerRecord(`${failureDomain}${10 + index}`, {
      peerAddress: `127.0.0.1:${port}`,
      failureDomain,
    });
  });
  members = records.map((record) => startMember(record, suspectReports));
  for (const { group } of members) group.setRecords(records);
});

afterEach(() => {
  for (const { group } of members) group.close();
});

const stage = { id: 'engine', address: 'e:1', layers: { from: 0, to: 2 } };

describe('createPeerGroup', () => {
  it('gives every VM of a large fleet the work of all VMs, with its own counted once', async () => {
    for (const { registry } of members) registry.reserve([stage], 10);
    await waitUntil(() =>
      members.every(({ registry }) => registry.running('engine') === members.length),
    );
    expect(members.map(({ registry }) => registry.running('engine'))).toEqual(
      members.map(() => 18),
    );
  });

  it('passes on datagrams that are no heartbeats', async () => {
    const [first] = members;
    first?.group.broadcast(Buffer.from('news'));
    await waitUntil(() => datagrams.length > 0);
    expect(datagrams.every((datagram) => datagram.endsWith(' news'))).toBe(true);
  });

  it('lists all VMs from relayed heartbeats, and replaces a relay that has failed', async () => {
    await waitUntil(() => members.every(({ group }) => group.live().length === members.length));
    const [relay, ...others] = members;
    expect(
      others
        .at(-1)
        ?.group.relays()
        .map(({ vm }) => vm),
    ).toEqual(['b11', 'b13']);
    relay?.group.close();
    await waitUntil(() => others.every(({ group }) => group.live().length === others.length));
    const inDomain = others.filter(({ record }) => record.failureDomain === 'a');
    await waitUntil(() => inDomain.every(({ group }) => group.relays()[0]?.vm === 'a12'));
    expect(inDomain.map(({ group }) => group.relays().map(({ vm }) => vm))).toEqual(
      inDomain.map(() => ['a12', 'a14']),
    );
    members = others;
  });

  it('forwards the suspicion of a server through relays', async () => {
    const last = members.at(-1);
    last?.registry.list([createListedServer('engine')]);
    last?.registry.suspect('engine', 'silent');
    await waitUntil(() => suspectReports.includes('b11 engine'));
    expect(suspectReports).toContain('b11 engine');
  });
});
