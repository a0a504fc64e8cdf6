import { createSocket } from 'node:dgram';
import { createServerRegistry } from '../../gateway/createServerRegistry';
import type { ServerRegistry } from '../../gateway/createServerRegistry';
import { createFirstEventDelays } from '../../gateway/createFirstEventDelays';
import type { PeerRecord } from '../../peers/peer';
import { createListedServer } from '../../chains/testEngine';
import { createPeerRecord } from '../../peers/testPeer';
import { createPeerGroup } from './createPeerGroup';
import type { PeerGroup } from './createPeerGroup';

interface Member {
  readonly record: PeerRecord;
  readonly board: ServerRegistry;
  readonly group: PeerGroup;
}

const now = (): number => performance.now();

/** Ports that were free a moment ago. */
async function findPorts(count: number): Promise<readonly number[]> {
  const sockets = await Promise.all(
    Array.from({ length: count }, async () => {
      const socket = createSocket('udp4');
      await new Promise<void>((resolve) => socket.bind(0, '127.0.0.1', resolve));
      return socket;
    }),
  );
  const ports = sockets.map((socket) => socket.address().port);
  for (const socket of sockets) socket.close();
  return ports;
}

function startMember(record: PeerRecord, lost: string[]): Member {
  const board = createServerRegistry({
    now,
    firstEventDelays: createFirstEventDelays(now),
    log: () => undefined,
  });
  const group = createPeerGroup({
    self: record,
    board,
    isAccepting: () => true,
    onLost: (id) => lost.push(`${record.vm} ${id}`),
    onAnswering: () => undefined,
    now,
    log: () => undefined,
  });
  return { record, board, group };
}

/** Waits for a condition; the test's own time limit ends the wait. */
async function until(isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 10));
}

/** Longest time for word to get round on a busy machine, milliseconds; no verdict depends on it. */
jest.setTimeout(60_000);

let members: readonly Member[] = [];
const lost: string[] = [];

beforeEach(async () => {
  const ports = await findPorts(18);
  const records = ports.map((port, index): PeerRecord => {
    const failureDomain = index % 2 === 0 ? 'a' : 'b';
    return createPeerRecord(`${failureDomain}${10 + index}`, {
      peerAddress: `127.0.0.1:${port}`,
      failureDomain,
    });
  });
  members = records.map((record) => startMember(record, lost));
  for (const { group } of members) group.learnRecords(records);
});

afterEach(() => {
  for (const { group } of members) group.close();
});

const stage = { id: 'engine', address: 'e:1', layers: { from: 0, to: 2 } };

describe('createPeerGroup', () => {
  it('tells every VM of a large fleet the work of all, its own counted once', async () => {
    for (const { board } of members) board.reserve([stage], 10);
    await until(() => members.every(({ board }) => board.running('engine') === members.length));
    expect(members.map(({ board }) => board.running('engine'))).toEqual(members.map(() => 18));
  });

  it('lists all VMs by what relays pass on, and takes over where a relay is gone', async () => {
    await until(() => members.every(({ group }) => group.live().length === members.length));
    const [relay, ...others] = members;
    expect(
      others
        .at(-1)
        ?.group.relays()
        .map(({ vm }) => vm),
    ).toEqual(['b11', 'b13']);
    relay?.group.close();
    await until(() => others.every(({ group }) => group.live().length === others.length));
    const inDomain = others.filter(({ record }) => record.failureDomain === 'a');
    await until(() => inDomain.every(({ group }) => group.relays()[0]?.vm === 'a12'));
    expect(inDomain.map(({ group }) => group.relays().map(({ vm }) => vm))).toEqual(
      inDomain.map(() => ['a12', 'a14']),
    );
    members = others;
  });

  it('passes the loss of a server on by way of relays', async () => {
    const last = members.at(-1);
    last?.board.list([createListedServer('engine')]);
    last?.board.suspect('engine', 'silent');
    await until(() => lost.includes('b11 engine'));
    expect(lost).toContain('b11 engine');
  });
});
