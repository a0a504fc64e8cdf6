import type { PlainCall } from '../operations/operationMessage';
import { createMessageAuthenticator } from './createMessageAuthenticator';
import { createPeerClient } from './createPeerClient';
import type { PeerClient } from './createPeerClient';
import { createPeerServer } from './createPeerServer';
import type { PeerServer } from './createPeerServer';
import type { PeerReply, PeerRequest } from './peerMessage';

const KEY = 'k'.repeat(32);
const TIMEOUT_MS = 2000;

const call: PlainCall = {
  call: 'c1',
  workspace: 'kiambu',
  service: 'desk',
  method: 'POST',
  path: '/deposits',
  body: '{"job":7}',
  contentType: 'application/json',
  operation: 'ticket/1',
  forwardedBy: 'vm-2',
  asksOutcome: true,
};

const forward: PeerRequest = { type: 'forward', from: 'vm-2', incarnation: 7, call };

describe('createPeerServer', () => {
  let receivedRequests: PeerRequest[];
  let reply: () => Promise<PeerReply>;
  let server: PeerServer;
  let client: PeerClient;

  beforeEach(async () => {
    receivedRequests = [];
    reply = () => Promise.resolve({ type: 'taken' });
    server = await createPeerServer({
      listen: { host: '127.0.0.1', port: 0 },
      authenticator: createMessageAuthenticator('test', { current: KEY }),
      answer: (request) => {
        receivedRequests.push(request);
        return reply();
      },
    });
    client = createPeerClient(createMessageAuthenticator('test', { current: KEY }));
  });

  afterEach(() => {
    client.close();
    server.close();
  });

  it('transfers a forwarded call with every property, and returns its result', async () => {
    const result = {
      type: 'refused',
      refusal: { outcome: 'not-run', reason: 'draining', detail: 'later', retryAfterMs: 5 },
    } as const;
    reply = () => Promise.resolve({ type: 'called', result });
    const answer = await client.ask(server.address, forward, TIMEOUT_MS);
    expect(receivedRequests).toEqual([forward]);
    expect(answer).toEqual({ type: 'called', result });
  });

  it('reports unreachable if the server is down', async () => {
    server.close();
    const answer = await client.ask(server.address, forward, TIMEOUT_MS);
    expect(answer).toEqual({ type: 'unreachable' });
    expect(receivedRequests).toEqual([]);
  });

  it('reports lost, not unreachable, after the call was sent', async () => {
    reply = () => {
      server.close();
      return new Promise(() => undefined);
    };
    const answer = await client.ask(server.address, forward, TIMEOUT_MS);
    expect(answer).toEqual({ type: 'lost' });
    expect(receivedRequests).toHaveLength(1);
  });

  it('rejects requests from a VM without the key', async () => {
    const otherClient = createPeerClient(
      createMessageAuthenticator('test', { current: 'x'.repeat(32) }),
    );
    const answer = await otherClient.ask(server.address, forward, TIMEOUT_MS);
    otherClient.close();
    expect(answer).toEqual({ type: 'lost' });
    expect(receivedRequests).toEqual([]);
  });

  it('rejects requests from a VM of another fleet', async () => {
    const otherClient = createPeerClient(createMessageAuthenticator('other', { current: KEY }));
    const answer = await otherClient.ask(server.address, forward, TIMEOUT_MS);
    otherClient.close();
    expect([answer, receivedRequests]).toEqual([{ type: 'lost' }, []]);
  });

  it('accepts the previous key during key rotation', async () => {
    const oldKeyClient = createPeerClient(
      createMessageAuthenticator('test', { current: 'x'.repeat(32), previous: KEY }),
    );
    const newKeyServer = await createPeerServer({
      listen: { host: '127.0.0.1', port: 0 },
      authenticator: createMessageAuthenticator('test', { current: KEY, previous: 'x'.repeat(32) }),
      answer: () => Promise.resolve({ type: 'taken' }),
    });
    const answer = await oldKeyClient.ask(newKeyServer.address, forward, TIMEOUT_MS);
    oldKeyClient.close();
    newKeyServer.close();
    expect(answer).toEqual({ type: 'taken' });
  });
});
