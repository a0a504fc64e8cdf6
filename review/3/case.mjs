/** Clients send bodies with methods for which Node.js frames no body by itself. */

import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, runCase, waitUntilReady } from '../lib/case.mjs';
import { sendOnce } from '../lib/client.mjs';
import * as site from '../lib/site.mjs';

/** Methods of the requests, in turn; without the disruption all are sent with POST. */
const METHODS = HAS_TROUBLE ? ['GET', 'DELETE', 'OPTIONS'] : ['POST', 'POST', 'POST'];

const REQUESTS = 30;

/** A request inside the body of another one, which names a tenant of its own. */
const smuggle = (id) =>
  `POST ${site.BOOKING}book HTTP/1.1\r\nHost: ${site.SITE_HOST}\r\nX-Request-Id: inner-${id}\r\n` +
  `X-Tenant: another-tenant\r\nContent-Length: 2\r\n\r\n{}`;

const bodies = [(id) => `{"job":"${id}","reason":"moved"}`, smuggle];

await runCase(dirname(fileURLToPath(import.meta.url)), async (parts) => {
  const { record, store, startServers, startGateways } = parts;
  store.put('op', 'config', site.createConfiguration());
  const sent = new Map();
  let changed = 0;
  await startServers({
    onRun: ({ requestId, server, method, path, body }) => {
      const own = sent.get(requestId);
      const isSame =
        own !== undefined && own.method === method && own.path === path && own.body === body;
      if (!isSame) changed += 1;
      record.write(isSame ? 'run' : 'run changed', { id: requestId, server, method, path, body });
    },
  });
  const [gateway] = await startGateways(1);
  await waitUntilReady([gateway]);
  for (let count = 0; count < REQUESTS; count += 1) {
    const id = `r-${count}`;
    const request = {
      method: METHODS[count % METHODS.length],
      path: `${site.STATUS}job?n=${count}`,
      body: bodies[count % bodies.length](id),
    };
    sent.set(id, request);
    record.write('sent', { id, ...request });
    const { end, status, body } = await sendOnce(gateway.front, {
      ...request,
      headers: site.createHeaders(id),
      deadlineMs: site.DEADLINE_MS,
    });
    record.write('answered', { id, end, status, body });
    await sleep(50);
  }
  record.write('result', { requests: REQUESTS, changed });
  return changed > 0;
});
