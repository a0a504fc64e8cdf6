/** Handles messages on the reliable channel between VMs: full records, revisions and snapshots. */

import { z } from 'zod';
import { buildRevisionsResponse } from '../configuration/buildRevisionsResponse';
import {
  revisionsSchema,
  revisionsWantedSchema,
  snapshotSchema,
  snapshotWantedSchema,
} from '../configuration/configurationMessage';
import type { Revisions, Snapshot } from '../configuration/configurationMessage';
import { applySnapshot } from '../configuration/applySnapshot';
import { addSnapshotChunk } from '../configuration/addSnapshotChunk';
import { createSnapshotChunk } from '../configuration/createSnapshotChunk';
import { applyConfiguration } from './applyConfiguration';
import { applyFetchedRevisions } from './applyFetchedRevisions';
import { chain } from './chain';
import { fetchConfiguration } from './fetchConfiguration';
import type { Fleet, FleetDecision } from './fleet';
import type { FleetEvent } from './fleetMessage';
import type { Member } from './member';
import { mergeHead } from './mergeHead';
import { mergeRecords, recordsSchema } from './mergeRecords';
import { sendRecords } from './sendRecords';
import { toPeer } from './toPeer';
import { withConfiguration } from './withConfiguration';

type MessageEvent = Extract<FleetEvent, { readonly type: 'message-received' }>;

const messageSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('records-wanted') }),
  recordsSchema,
  revisionsWantedSchema,
  revisionsSchema,
  snapshotWantedSchema,
  snapshotSchema,
]);

type Message = z.infer<typeof messageSchema>;

type MessageHandlers = {
  readonly [Type in Message['type']]: (
    fleet: Fleet,
    message: Extract<Message, { readonly type: Type }>,
    from: Member,
    event: MessageEvent,
  ) => FleetDecision;
};

const handlers: MessageHandlers = {
  'records-wanted': (fleet, _message, from) => sendRecords(fleet, from),
  records: (fleet, message, _from, event) => mergeRecords(fleet, message, event.atMs),
  'revisions-wanted': (fleet, { after }, from) =>
    reply(fleet, from, buildRevisionsResponse(fleet.configuration, after)),
  'snapshot-wanted': (fleet, { after }, from) =>
    reply(fleet, from, createSnapshotChunk(fleet.configuration.applied, after)),
  revisions: (fleet, message, _from, event) => applyPeerRevisions(fleet, message, event),
  snapshot: (fleet, message, from, event) => applySnapshotChunk(fleet, message, from, event),
};

/** Answers or applies one message; malformed ones and those of unknown VMs are dropped and counted. */
export function handleMessage(fleet: Fleet, event: MessageEvent): FleetDecision {
  const from = fleet.membership.members.get(event.from);
  if (from === undefined) return drop(fleet, 'unknown-sender');
  const message = messageSchema.safeParse(event.body);
  if (!message.success) return drop(fleet, 'malformed');
  const handler = handlers[message.data.type] as (
    fleet: Fleet,
    message: Message,
    from: Member,
    event: MessageEvent,
  ) => FleetDecision;
  return handler(fleet, message.data, from, event);
}

function drop(fleet: Fleet, reason: string): FleetDecision {
  return {
    state: fleet,
    effects: [{ type: 'count', counter: 'messages_dropped', by: 1, labels: { reason } }],
  };
}

function reply(fleet: Fleet, to: Member, body: Revisions | Snapshot): FleetDecision {
  return { state: fleet, effects: [{ type: 'send-message', to: toPeer(to), body }] };
}

function applyPeerRevisions(fleet: Fleet, message: Revisions, event: MessageEvent): FleetDecision {
  const { atMs, seed } = event;
  if (message.revisions.length === 0) return { state: fleet, effects: [] };
  return chain(
    withConfiguration(mergeHead(fleet, message.head), { fetch: { type: 'none' } }),
    (state) => applyFetchedRevisions(state, message.revisions, atMs, seed),
    (state) => fetchConfiguration(state, atMs, seed),
  );
}

function applySnapshotChunk(
  fleet: Fleet,
  chunk: Snapshot,
  from: Member,
  event: MessageEvent,
): FleetDecision {
  const { atMs, seed } = event;
  const joined = addSnapshotChunk(fleet.configuration, chunk);
  if (joined.type === 'stale') return { state: fleet, effects: [] };
  if (joined.type === 'malformed') return drop(fleet, 'malformed');
  const state = { ...fleet, configuration: joined.state };
  if (joined.next === null) {
    return chain(
      withConfiguration(state, { fetch: { type: 'none' } }),
      (next) => applyConfiguration(next, applySnapshot(next.configuration, []), atMs, seed),
      (next) => fetchConfiguration(next, atMs, seed),
    );
  }
  return {
    state: withConfiguration(state, { fetch: { type: 'snapshot', startedAtMs: atMs } }),
    effects: [
      {
        type: 'send-message',
        to: toPeer(from),
        body: { type: 'snapshot-wanted', after: joined.next },
      },
    ],
  };
}
