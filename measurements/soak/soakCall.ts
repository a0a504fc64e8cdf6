/** Callers of the plain service: they retry through any VM under the same id, and note every answer. */

import type { CallResult, PlainCall } from '../../src/operations/operationMessage';
import { deliver } from './deliver';
import { drawDelay } from './network';
import type { CallKind, Work } from './soakItem';
import { workspaces } from './soakSite';
import type { SoakNode, World } from './soakWorld';

/** One call of a caller with everything that came of it. */
export interface SoakCall {
  readonly name: string;
  readonly kind: CallKind;
  readonly workspace: string;
  readonly body: string;
  readonly path: string;
  id: string | undefined;
  /** Whether it is to be sent once more after its answer. */
  isRepeated: boolean;
  sends: number;
  /** Sends that got no answer. */
  unanswered: number;
  readonly answers: CallerAnswer[];
}

export interface CallerAnswer {
  readonly result: CallResult;
  /**
   * Whether the answer may be that of another call under the same id: where only the outcome was
   * asked for, or where the backend server's look-up, which knows ids alone, may have given it.
   */
  readonly canMix: boolean;
}

type CallWork = Extract<Work, { readonly type: 'call' }>;

/** Time after which a caller gives a send up, milliseconds. */
const CALLER_TIMEOUT_MS = 2500;

/** Sends of one call, doubles apart. */
const MAX_SENDS = 4;

/** Longest wait before a retry, milliseconds. */
const MAX_PAUSE_MS = 2000;

/** Longest wait before a call that was answered is sent once more, milliseconds. */
const MAX_REPEAT_MS = 8000;

/** Share of first sends that go to the home. */
const HOME_SHARE = 0.7;

const paths: Readonly<Record<CallKind, string>> = {
  deposit: '/deposits',
  booking: '/bookings',
  hold: '/holds',
  'own-key': '/deposits',
  once: '/deposits',
  lookup: '/jobs/',
};

/** Starts one call of a caller. */
export function startCall(world: World, work: CallWork): void {
  const name = `c${world.nextId}`;
  world.nextId += 1;
  const { kind, caller } = work;
  const call: SoakCall = {
    name,
    kind,
    workspace: workspaces[caller % workspaces.length] ?? '',
    body: kind === 'lookup' ? '' : `{"call":"${name}"}`,
    path: kind === 'lookup' ? `/jobs/${name}` : paths[kind],
    id: kind === 'own-key' ? `order ${name}` : undefined,
    isRepeated: work.isRepeated,
    sends: 0,
    unanswered: 0,
    answers: [],
  };
  world.calls.push(call);
  world.findings.operations += 1;
  const needsTicket = kind === 'deposit' || kind === 'booking' || kind === 'hold';
  if (needsTicket) askTicket(world, work, call, MAX_SENDS);
  else sendFirst(world, work, call, pickNode(world));
}

function pickNode(world: World): SoakNode {
  return world.random.pick(world.nodes);
}

function askTicket(world: World, work: CallWork, call: SoakCall, tries: number): void {
  const held = world.tickets.get(work.caller);
  if (held !== undefined && held.left > 0) {
    held.left -= 1;
    held.sequence += 1;
    call.id = `${held.ticket}/${held.sequence}`;
    const isHome = world.random.next() < HOME_SHARE;
    sendFirst(world, work, call, isHome ? nodeAt(world, held.home) : pickNode(world));
    return;
  }
  if (tries === 0) return;
  const node = pickNode(world);
  const again = (): void => {
    askTicket(world, work, call, tries - 1);
  };
  const { workspace } = call;
  ask(world, node, again, (answer) => {
    const granted = answer as { readonly type: string; readonly ticket: string };
    if (granted.type === 'granted') {
      const left = 1 + world.random.integer(12);
      const ticket = { ticket: granted.ticket, home: node.index, sequence: 0, left };
      world.tickets.set(work.caller, ticket);
    }
    again();
  })((id) => ({ type: 'ticket-asked', call: id, workspace }));
}

function nodeAt(world: World, index: number): SoakNode {
  return world.nodes[index] ?? pickNode(world);
}

function sendFirst(world: World, work: CallWork, call: SoakCall, node: SoakNode): void {
  send(world, call, node, {});
  if (call.kind === 'once' || call.kind === 'lookup') return;
  if (work.isDoubled) send(world, call, pickNode(world), {});
  if (!work.isMisused) return;
  world.schedule(world.random.next() * MAX_PAUSE_MS, () => {
    send(world, call, pickNode(world), { body: `{"misuse":"${call.name}"}` });
  });
}

function send(world: World, call: SoakCall, node: SoakNode, change: Partial<PlainCall>): void {
  const isMisuse = change.body !== undefined;
  if (!isMisuse) {
    call.sends += 1;
    call.unanswered += 1;
  }
  const lost = (): void => {
    if (!isMisuse) retry(world, call);
  };
  ask(world, node, lost, (answer) => {
    if (isMisuse) return;
    call.unanswered -= 1;
    const canMix = change.asksOutcome === true || call.kind === 'hold';
    note(world, call, { result: answer as CallResult, canMix });
  })((id) => ({
    type: 'call-received',
    call: {
      call: id,
      workspace: call.workspace,
      service: 'desk',
      method: call.kind === 'lookup' ? 'GET' : 'POST',
      path: call.path,
      body: call.body,
      contentType: 'application/json',
      ...(call.id === undefined ? {} : { operation: call.id }),
      ...change,
    },
  }));
}

function note(world: World, call: SoakCall, noted: CallerAnswer): void {
  call.answers.push(noted);
  const answer = noted.result;
  const outcome = answer.type === 'answered' ? 'answered' : answer.refusal.outcome;
  const reason = answer.type === 'answered' ? '' : answer.refusal.reason;
  world.trace(`${call.name} (${call.kind}) was told ${outcome} ${reason}`);
  if (outcome === 'answered' && call.isRepeated) repeat(world, call);
  if (outcome === 'unknown' || outcome === 'not-run') dropTicket(world, call);
  const mayRetry = outcome === 'unknown' || (outcome === 'not-run' && call.kind === 'own-key');
  if (mayRetry && world.random.next() < 0.5) retry(world, call);
}

/** A caller whose home may be gone asks for a new ticket before its next call. */
function dropTicket(world: World, call: SoakCall): void {
  for (const [caller, { ticket }] of world.tickets) {
    if (call.id?.startsWith(ticket) === true) world.tickets.delete(caller);
  }
}

/** A copy that comes late, as from a queue that was not cleared. */
function repeat(world: World, call: SoakCall): void {
  if (call.id === undefined) return;
  call.isRepeated = false;
  world.schedule(world.random.next() * MAX_REPEAT_MS, () => {
    send(world, call, pickNode(world), {});
  });
}

/** Sends again under the same id; a call without one is never repeated. */
function retry(world: World, call: SoakCall): void {
  if (call.id === undefined || call.sends >= MAX_SENDS) return;
  world.schedule(world.random.next() * MAX_PAUSE_MS, () => {
    const asksOutcome = call.kind !== 'own-key' && world.random.next() < 0.2;
    send(world, call, pickNode(world), asksOutcome ? { asksOutcome } : {});
  });
}

type OperationEventFor = (
  id: string,
) => Extract<Parameters<typeof deliver>[2], { readonly side: 'operations' }>['event'];

/** Asks a node over HTTP; `lost` is told where no answer comes. */
function ask(
  world: World,
  node: SoakNode,
  lost: () => void,
  answered: (answer: unknown) => void,
): (event: OperationEventFor) => void {
  return (event) => {
    const id = `h${world.nextId}`;
    world.nextId += 1;
    let isOpen = true;
    const end = (finish: () => void): void => {
      if (!isOpen) return;
      isOpen = false;
      finish();
    };
    if (!node.isUp || node.isClosing) {
      world.schedule(drawDelay(world), () => {
        end(lost);
      });
      return;
    }
    node.waiting.set(id, (answer) => {
      world.schedule(drawDelay(world), () => {
        end(() => {
          answered(answer);
        });
      });
    });
    world.schedule(drawDelay(world), () => {
      deliver(world, node, { side: 'operations', event: event(id) });
    });
    world.schedule(CALLER_TIMEOUT_MS, () => {
      end(lost);
    });
  };
}
