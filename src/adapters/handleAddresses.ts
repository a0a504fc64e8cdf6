/** Tells a caller which addresses to use, with a ticket for the operations it will number. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { Exchange } from './exchange';
import { sendJson } from './sendJson';

/**
 * Handles `GET /v1/addresses`. Answers spread callers over the VMs by name: the caller's own, given as
 * `?caller=NAME`, or else its IP number.
 *
 * @param exchange the exchange
 * @param workspace whose caller it is
 */
export async function handleAddresses(exchange: Exchange, workspace: WorkspaceId): Promise<void> {
  const { request, response, host, url } = exchange;
  const call = host.createId();
  const name = url.searchParams.get('caller') ?? request.socket.remoteAddress ?? '';
  const caller = `${workspace}/${name}`;
  const { addresses: waitingForAddresses, tickets, calls } = host.waiting;
  const answer = waitingForAddresses.wait(call);
  // A VM that takes no new work answers the call in place of granting a ticket.
  const granted = Promise.race([tickets.wait(call), calls.wait(call)]);
  host.send(
    { side: 'fleet', event: { type: 'addresses-asked', call, caller } },
    { side: 'operations', event: { type: 'ticket-asked', call, workspace } },
  );
  const { addresses, validForMs } = await answer;
  const ticket = await granted;
  tickets.forget(call);
  calls.forget(call);
  const named = typeof ticket === 'string' ? { ticket } : {};
  sendJson(response, 200, { addresses, validForMs, ...named });
}
