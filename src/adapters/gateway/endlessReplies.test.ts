/** Checks that a server which sends bytes without end is cut off within a bound, whatever it sends. */

import { Agent } from 'node:http';
import { exchangeJson } from './exchangeJson';
import type { JsonResult } from './exchangeJson';
import { openExchange } from './openExchange';
import { createConnectionTurns } from '../intake/createConnectionTurns';
import { createReplyMemory } from '../../replies/createReplyMemory';
import { readReplyBody } from './readReplyBody';
import { startFloodServer } from './startFloodServer';
import type { Flood, FloodServer } from './startFloodServer';

const KIB = 1024;

/** What the socket buffers of both ends hold on loopback, beyond what the client reads. */
const SOCKET_BUFFER_BYTES = 12 * KIB * KIB;

const MAX_BODY_BYTES = 8 * KIB * KIB;

const OK = 'HTTP/1.1 200 OK\r\n';

const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

const LINE = 'a'.repeat(KIB);

const HEADS: readonly (readonly [string, Flood])[] = [
  ['one line', { head: '', repeated: LINE }],
  ['a status line', { head: 'HTTP/1.1 200 ', repeated: LINE }],
  ['a header field', { head: `${OK}x-a: `, repeated: LINE }],
  ['header fields', { head: OK, repeated: `x-a: ${LINE}\r\n` }],
  ['small header fields', { head: OK, repeated: 'a:b\r\n' }],
  ['blank lines', { head: '', repeated: '\r\n' }],
  ['100 responses', { head: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n' }],
  ['102 responses', { head: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' }],
  ['103 responses', { head: '', repeated: `HTTP/1.1 103 Early Hints\r\nx-a: ${LINE}\r\n\r\n` }],
  ['101 responses', { head: '', repeated: 'HTTP/1.1 101 Switching Protocols\r\n\r\n' }],
];

const BODIES: readonly (readonly [string, Flood])[] = [
  ['a body without length', { head: `${OK}\r\n`, repeated: LINE }],
  ['a chunked body', { head: CHUNKED, repeated: `400\r\n${LINE}\r\n` }],
  ['one chunk', { head: `${CHUNKED}fffffffff\r\n`, repeated: LINE }],
  ['tiny chunks', { head: CHUNKED, repeated: '1\r\na\r\n' }],
  ['a chunk extension', { head: `${CHUNKED}1;`, repeated: LINE }],
  ['trailers', { head: `${CHUNKED}0\r\n`, repeated: 'x-a: b\r\n' }],
  ['a long body', { head: `${OK}Content-Length: 999999999999\r\n\r\n`, repeated: LINE }],
];

const EXTRA: readonly (readonly [string, Flood])[] = [
  ['a body of known length', { head: `${OK}Content-Length: 2\r\n\r\n{}`, repeated: LINE }],
  ['a chunked body', { head: `${CHUNKED}2\r\n{}\r\n0\r\n\r\n`, repeated: LINE }],
  ['an answer, answers', { head: '', repeated: `${OK}Content-Length: 2\r\n\r\n{}` }],
  ['no content', { head: 'HTTP/1.1 204 No Content\r\n\r\n', repeated: LINE }],
];

interface CallEnd {
  readonly type: string;
  readonly isSent: boolean;
}

const SHARES = {
  replyMemory: createReplyMemory({ maxBytes: 100_000_000 }),
  replyTurns: createConnectionTurns({ now: () => performance.now() }),
};

const sendCall = (address: string): Promise<CallEnd> =>
  new Promise((resolve) => {
    openExchange(
      { address, method: 'POST', path: '/', headers: {}, body: Buffer.from('hello') },
      {
        onReply: (reply) => {
          void readReplyBody(reply, SHARES).then(({ type }) => {
            resolve({ type, isSent: true });
          });
        },
        onFailure: ({ isSent }) => {
          resolve({ type: 'failed', isSent });
        },
      },
    );
  });

const sendJson = (address: string, agent = new Agent()): Promise<JsonResult> =>
  exchangeJson({ address, method: 'GET', path: '/', timeoutMs: 4_000, agent });

let server: FloodServer;

const flood = async (bytes: Flood): Promise<string> => {
  server = await startFloodServer(bytes);
  return server.address;
};

const expectCutOff = async (maxBytes: number): Promise<void> => {
  const { isClosedByClient, bytes } = await server.end;
  expect(isClosedByClient).toBe(true);
  expect(bytes).toBeLessThan(maxBytes + SOCKET_BUFFER_BYTES);
};

afterEach(() => {
  server.close();
});

describe('a request', () => {
  it.each(HEADS)('fails as sent where the server sends %s without end', async (_, bytes) => {
    const end = await sendCall(await flood(bytes));
    expect(end).toEqual({ type: 'failed', isSent: true });
    await expectCutOff(64 * KIB);
  });

  it.each(BODIES)('gets a broken reply where the server sends %s without end', async (_, bytes) => {
    const end = await sendCall(await flood(bytes));
    expect(end).toEqual({ type: 'broken', isSent: true });
    await expectCutOff(MAX_BODY_BYTES);
  });

  it.each(EXTRA)('closes the connection on bytes that follow %s', async (_, bytes) => {
    const end = await sendCall(await flood(bytes));
    expect(end.isSent).toBe(true);
    await expectCutOff(64 * KIB);
  });
});

describe('a small request', () => {
  it.each([...HEADS, ...BODIES])(
    'is refused where the server sends %s without end',
    async (_, bytes) => {
      const result = await sendJson(await flood(bytes));
      expect(result.type).toBe('refused');
      await expectCutOff(MAX_BODY_BYTES);
    },
  );

  it.each(EXTRA)('closes the connection on bytes that follow %s', async (_, bytes) => {
    await sendJson(await flood(bytes));
    await expectCutOff(64 * KIB);
  });

  it.each([...HEADS, ...BODIES])(
    'is refused on a kept connection where the server sends %s without end',
    async (_, bytes) => {
      const agent = new Agent({ keepAlive: true });
      const result = await sendJson(await flood(bytes), agent);
      expect(result.type).toBe('refused');
      await expectCutOff(MAX_BODY_BYTES);
    },
  );

  it.each(EXTRA)('closes a kept connection on bytes that follow %s', async (_, bytes) => {
    const agent = new Agent({ keepAlive: true });
    await sendJson(await flood(bytes), agent);
    await expectCutOff(64 * KIB);
  });
});
