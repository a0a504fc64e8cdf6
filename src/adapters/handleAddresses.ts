/** Tells a caller which addresses to use, with a ticket for the operations it will number. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { Exchange } from './exchange';
import { sendJson } from './sendJson';

/**
 * Handles `GET /v1/addresses`.
 *
 * @param exchange the exchange
 * @param workspace whose caller it is
 */
export async function handleAddresses(exchange: Exchange, workspace: WorkspaceId): Promise<void> {
  const { request, response, host } = exchange;
  const call = host.createId();
  const caller = `${workspace}@${request.socket.remoteAddress ?? ''}`;
  const answer = host.waiting.addresses.wait(call);
  const granted = host.waiting.tickets.wait(call);
  host.send(
    { side: 'fleet', event: { type: 'addresses-asked', call, caller } },
    { side: 'operations', event: { type: 'ticket-asked', call, workspace } },
  );
  const { addresses, validForMs } = await answer;
  sendJson(response, 200, { addresses, validForMs, ticket: await granted });
}
