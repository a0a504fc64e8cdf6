import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ClockReading } from '../../catalog/confirmation';
import type { StoreRow, WatchedStore } from '../../contracts/watchedStore';
import type { TableCopy } from '../../peers/tableCopy';
import { createTableCopy } from '../../peers/tableCopy';
import { createPeerRecord } from '../../peers/testPeer';
import { createRelayedStore } from './createRelayedStore';
import { createTableRelay } from './createTableRelay';

const createRow = (key: string, version: number): StoreRow => ({ key, value: key, version });

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
  const log: string[] = [];
  const store: WatchedStore = {
    read: () => Promise.resolve({ type: 'rows', rows: [], version: 0 }),
    watch: (_table, sinceVersion) => {
      storeWatches.push(sinceVersion);
      return Promise.resolve({ type: 'rows', rows: [], version: sinceVersion });
    },
    write: () => Promise.resolve({ type: 'conflict' }),
  };
  const relays = [createPeerRecord('relay', { tableAddress: `127.0.0.1:${port}` })];
  const follow = (vm: string, from = relays): WatchedStore =>
    createRelayedStore({
      store,
      vm,
      relays: () => from,
      now: () => reading.monotonicMs,
      log: (message) => log.push(message),
    });
  return {
    http: server,
    publish: (copy: TableCopy, isDirect = true) => {
      relay.publish('t', { copy, known: reading, isDirect, maxAgeMs: 2_600 });
    },
    asked: storeWatches,
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
    publish(createTableCopy([createRow('a', 7)], 7));
    advance(300);
    const read = await follow('leaf').watch('t', 7, 20);
    expect(read).toEqual({
      type: 'rows',
      rows: [],
      version: 7,
      relayed: { heldMs: 0, agoMs: 300 },
    });
    expect(storeWatches).toEqual([]);
  });

  it('receives an answer as soon as the relay has a change', async () => {
    const { publish, follow, http } = await startRelay();
    publish(createTableCopy([], 7));
    const waiting = follow('leaf').watch('t', 7, 60_000);
    await once(http, 'request');
    publish({ ...createTableCopy([createRow('b', 9)], 9), knownSince: 7 });
    expect(await waiting).toMatchObject({ rows: [createRow('b', 9)], version: 9 });
  });

  it('reads the table again if the relay lacks the history of removed rows', async () => {
    const { publish, follow } = await startRelay();
    publish(createTableCopy([], 7));
    expect(await follow('leaf').watch('t', 3, 20)).toEqual({ type: 'history-gone' });
  });

  it('queries the store if the relay has had no answer from it for too long', async () => {
    const { publish, follow, asked: storeWatches, log, advance } = await startRelay();
    publish(createTableCopy([], 7));
    advance(2_700);
    await follow('leaf').watch('t', 7, 20);
    expect(storeWatches).toEqual([7]);
    expect(log).toContain('relay does not answer');
  });

  it('queries the store if the relay itself follows another VM', async () => {
    const { publish, follow, asked: storeWatches } = await startRelay();
    publish(createTableCopy([], 7), false);
    await follow('leaf').watch('t', 7, 20);
    expect(storeWatches).toEqual([7]);
  });

  it('backs off a relay that refused, and tries it again later', async () => {
    const { follow, asked: storeWatches, advance, publish } = await startRelay();
    const leaf = follow('leaf');
    await leaf.watch('t', 7, 20);
    publish(createTableCopy([], 7));
    await leaf.watch('t', 7, 20);
    expect(storeWatches).toEqual([7, 7]);
    advance(3_000);
    publish(createTableCopy([], 7));
    await leaf.watch('t', 7, 20);
    expect(storeWatches).toEqual([7, 7]);
  });

  it('follows the store itself if it is a relay or if there are no relays', async () => {
    const { follow, asked: storeWatches } = await startRelay();
    await follow('relay').watch('t', 7, 20);
    await follow('leaf', []).watch('t', 8, 20);
    expect(storeWatches).toEqual([7, 8]);
  });
});
