/** Sends a caller the addresses to use and a ticket for its operation ids. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { Exchange } from './exchange';
import { sendJson } from './sendJson';

/**
 * Handles `GET /v1/addresses`. The addresses distribute callers over the VMs by the caller's name
 * (`?caller=NAME`) or, without one, by its IP address.
 *
 * @param exchange the HTTP exchange
 * @param workspace the caller's workspace
 */
export async function handleAddresses(exchange: Exchange, workspace: WorkspaceId): Promise<void> {
  const { request, response, host, url } = exchange;
  const call = host.createId();
  const name = url.searchParams.get('caller') ?? request.socket.remoteAddress ?? '';
  const caller = `${workspace}/${name}`;
  const { addresses: waitingForAddresses, tickets, calls } = host.waiting;
  const answer = waitingForAddresses.wait(call);
  // A VM that does not accept new work answers the call instead of granting a ticket.
  const granted = Promise.race([tickets.wait(call), calls.wait(call)]);
  host.send(
    { side: 'fleet', event: { type: 'addresses-asked', call, caller } },
    { side: 'operations', event: { type: 'ticket-asked', call, workspace } },
  );
  const { addresses, validForMs } = await answer;
  const ticket = await granted;
  tickets.remove(call);
  calls.remove(call);
  const ticketField = typeof ticket === 'string' ? { ticket } : {};
  sendJson(response, 200, { addresses, validForMs, ...ticketField });
}
