import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ClockReading } from '../../catalog/confirmation';
import type { Position } from '../../contracts/position';
import type { StoreRow, WatchedStore } from '../../contracts/watchedStore';
import type { TableCopy } from '../../peers/tableCopy';
import { createTableCopy } from '../../peers/tableCopy';
import { createPeerRecord } from '../../peers/testPeer';
import { createRelayedStore } from './createRelayedStore';
import { createTableRelay } from './createTableRelay';

const at = (version: number, era = 0): Position => ({ era, version });

const createRow = (key: string, version: number, era = 0): StoreRow => ({
  key,
  value: key,
  position: at(version, era),
});

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

async function startRelay() {
  let reading: ClockReading = { monotonicMs: 5_000, wallMs: 5_000 };
  const relay = createTableRelay(() => reading);
  server = createServer(relay.handle);
  await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const storeWatches: number[] = [];
  const storeWaitsMs: number[] = [];
  const log: string[] = [];
  const store: WatchedStore = {
    read: () => Promise.resolve({ type: 'rows', rows: [], position: at(0) }),
    watch: (_table, since, waitMs) => {
      storeWatches.push(since.version);
      storeWaitsMs.push(waitMs);
      return Promise.resolve({ type: 'rows', rows: [], position: since });
    },
    write: () => Promise.resolve({ type: 'conflict', era: 0 }),
  };
  const relays = [createPeerRecord('relay', { tableAddress: `127.0.0.1:${port}` })];
  const follow = (vm: string, from = relays): WatchedStore =>
    createRelayedStore({
      store,
      vm,
      relays: () => from,
      isFollowedByAllRelays: (table) => table === 'all',
      now: () => reading.monotonicMs,
      log: (message) => log.push(message),
    });
  return {
    http: server,
    publish: (copy: TableCopy, isOffered = true) => {
      relay.publish('t', { copy, known: reading, isOffered, maxAgeMs: 2_600 });
    },
    asked: storeWatches,
    storeWaitsMs,
    relays,
    log,
    follow,
    advance: (ms: number) => {
      reading = { monotonicMs: reading.monotonicMs + ms, wallMs: reading.wallMs + ms };
    },
  };
}

describe('createRelayedStore', () => {
  it('receives changes from the relay, with the age of its copy', async () => {
    const { publish, follow, asked: storeWatches, advance } = await startRelay();
    publish(createTableCopy([createRow('a', 7)], at(7)));
    advance(300);
    const read = await follow('leaf').watch('t', at(7), 20);
    expect(read).toEqual({
      type: 'rows',
      rows: [],
      position: at(7),
      relayed: { heldMs: 0, agoMs: 300 },
    });
    expect(storeWatches).toEqual([]);
  });

  it('receives an answer as soon as the relay has a change', async () => {
    const { publish, follow, http } = await startRelay();
    publish(createTableCopy([], at(7)));
    const waiting = follow('leaf').watch('t', at(7), 60_000);
    await once(http, 'request');
    publish({ ...createTableCopy([createRow('b', 9)], at(9)), knownSince: at(7) });
    expect(await waiting).toMatchObject({ rows: [createRow('b', 9)], position: at(9) });
  });

  it('reads the table again if the relay lacks the history of removed rows', async () => {
    const { publish, follow } = await startRelay();
    publish(createTableCopy([], at(7)));
    expect(await follow('leaf').watch('t', at(3), 20)).toEqual({ type: 'history-gone', era: 0 });
  });

  it('queries the store if the relay has had no answer from it for too long', async () => {
    const { publish, follow, asked: storeWatches, log, advance } = await startRelay();
    publish(createTableCopy([], at(7)));
    advance(2_700);
    await follow('leaf').watch('t', at(7), 20);
    expect(storeWatches).toEqual([7]);
    expect(log).toContain('relay does not answer');
  });

  it('does not wait for a change at the store after a relay has failed', async () => {
    const { follow, storeWaitsMs } = await startRelay();
    await follow('leaf').watch('t', at(7), 20);
    await follow('leaf', []).watch('t', at(7), 20);
    expect(storeWaitsMs).toEqual([0, 20]);
  });

  it('queries the store if the relay itself follows another VM', async () => {
    const { publish, follow, asked: storeWatches } = await startRelay();
    publish(createTableCopy([], at(7)), false);
    await follow('leaf').watch('t', at(7), 20);
    expect(storeWatches).toEqual([7]);
  });

  it('reads the table again if the relay has a later era, and learns it', async () => {
    const { publish, follow, asked: storeWatches } = await startRelay();
    publish(createTableCopy([createRow('a', 7, 1)], at(7, 1)));
    expect(await follow('leaf').watch('t', at(7), 20)).toEqual({ type: 'history-gone', era: 1 });
    expect(storeWatches).toEqual([]);
  });

  it('queries the store if the relay has only an earlier era', async () => {
    const { publish, follow, asked: storeWatches } = await startRelay();
    publish(createTableCopy([createRow('a', 9)], at(9)));
    await follow('leaf').watch('t', at(7, 1), 20);
    expect(storeWatches).toEqual([7]);
  });

  it('ends a wait at the relay when the relay reads the table in a later era', async () => {
    const { publish, follow, http } = await startRelay();
    publish(createTableCopy([], at(7)));
    const waiting = follow('leaf').watch('t', at(7), 60_000);
    await once(http, 'request');
    publish(createTableCopy([createRow('b', 7, 1)], at(7, 1)));
    expect(await waiting).toEqual({ type: 'history-gone', era: 1 });
  });

  it('backs off a relay that refused, and tries it again later', async () => {
    const { follow, asked: storeWatches, advance, publish } = await startRelay();
    const leaf = follow('leaf');
    await leaf.watch('t', at(7), 20);
    publish(createTableCopy([], at(7)));
    await leaf.watch('t', at(7), 20);
    expect(storeWatches).toEqual([7, 7]);
    advance(3_000);
    publish(createTableCopy([], at(7)));
    await leaf.watch('t', at(7), 20);
    expect(storeWatches).toEqual([7, 7]);
  });

  it('follows the first relay as the second one, unless the table is followed by all relays', async () => {
    const { publish, follow, relays, asked: storeWatches } = await startRelay();
    publish(createTableCopy([], at(7)));
    const second = follow('second', [...relays, createPeerRecord('second')]);
    expect(await second.watch('t', at(7), 20)).toMatchObject({ relayed: { heldMs: 0 } });
    expect(storeWatches).toEqual([]);
    await second.watch('all', at(8), 20);
    expect(storeWatches).toEqual([8]);
  });

  it('follows the store itself as the second relay while the first one does not answer', async () => {
    const { follow, relays, asked: storeWatches } = await startRelay();
    const second = follow('second', [...relays, createPeerRecord('second')]);
    await second.watch('t', at(7), 20);
    await second.watch('t', at(7), 20);
    expect(storeWatches).toEqual([7, 7]);
  });

  it('follows the store itself if it is a relay or if there are no relays', async () => {
    const { follow, asked: storeWatches } = await startRelay();
    await follow('relay').watch('t', at(7), 20);
    await follow('leaf', []).watch('t', at(8), 20);
    expect(storeWatches).toEqual([7, 8]);
  });
});
