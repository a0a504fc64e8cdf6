import { Agent } from 'undici';
import type { Server } from '../../standins/http/startServer';
import { startTable } from '../../standins/table/startTable';
import type { Table } from '../contracts/table';
import { createTableClient } from './createTableClient';

const write = (value: string) => ({
  conditions: [{ table: 't', key: 'k', version: 0 }],
  writes: [{ table: 't', key: 'k', value }],
});

describe('createTableClient', () => {
  let server: Server;
  let dispatcher: Agent;
  let table: Table;

  beforeEach(async () => {
    server = await startTable();
    dispatcher = new Agent();
    const url = `http://${server.host}:${server.port}`;
    table = createTableClient({ url, dispatcher, timeoutMs: 300 });
  });

  afterEach(async () => {
    await dispatcher.destroy();
    await server.close();
  });

  const setFaults = (faults: object) =>
    fetch(`http://${server.host}:${server.port}/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });

  it('commits a write, reports a conflict and reads rows', async () => {
    const row = { table: 't', key: 'k', value: 'one', version: 1 };
    expect(await table.transact(write('one'))).toEqual({ type: 'committed', versions: [1] });
    expect(await table.transact(write('two'))).toEqual({ type: 'conflict', rows: [row] });
    expect(await table.read('t', ['k'])).toEqual({ type: 'rows', rows: [row] });
  });

  it('reports ambiguous if the reply is lost after the write took effect', async () => {
    await setFaults({ loseReplies: 1 });
    expect(await table.transact(write('one'))).toMatchObject({ type: 'ambiguous' });
    expect(await table.read('t', ['k'])).toMatchObject({ rows: [{ value: 'one' }] });
  });

  it('reports ambiguous if the reply arrives too late', async () => {
    await setFaults({ delayMs: 1000 });
    expect(await table.transact(write('one'))).toMatchObject({ type: 'ambiguous' });
  });

  it('reports unavailable if nothing was written', async () => {
    await setFaults({ outage: true });
    expect(await table.transact(write('one'))).toMatchObject({ type: 'unavailable' });
    await server.close();
    expect(await table.transact(write('one'))).toMatchObject({ type: 'unavailable' });
    expect(await table.read('t', ['k'])).toMatchObject({ type: 'unavailable' });
  });
});
