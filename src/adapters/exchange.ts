/** One HTTP exchange, and the node's interface for its handlers. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Configuration } from '../configuration/configuration';
import type { LimitSettings } from '../node/settings';
import type { Send } from '../node/untimedEvent';
import type { CallResult } from '../operations/operationMessage';
import type { OperatorSettings } from '../node/settings';
import type { RequestId } from '../requests/request';
import type { AddressAnswer } from '../vms/fleetMessage';
import type { CallerStream } from './callerStream';
import type { PendingCalls } from './createPendingCalls';

/** Answer of the plans component to an operator. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Callers and operators that wait for answers of the node, by kind of answer. */
export interface Waiters {
  /** Responses not yet completely handed to the operating system; a drain waits for them. */
  readonly responses: Set<ServerResponse>;
  readonly streams: Map<RequestId, CallerStream>;
  readonly calls: PendingCalls<CallResult>;
  readonly tickets: PendingCalls<string>;
  readonly addresses: PendingCalls<AddressAnswer>;
  readonly operators: PendingCalls<OperatorAnswer>;
}

/** The node's interface for the HTTP handlers. */
export interface HttpHost {
  readonly send: Send;
  readonly configuration: () => Configuration;
  readonly waiting: Waiters;
  readonly limits: LimitSettings;
  readonly operators: readonly OperatorSettings[];
  /** Creates an id that is unique in the fleet. */
  readonly createId: () => string;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly count: (counter: string, labels?: Readonly<Record<string, string>>) => void;
  readonly metrics: () => Promise<{ readonly contentType: string; readonly text: string }>;
  readonly readiness: () => { readonly isReady: boolean; readonly reason: string };
  /** Returns a view of the node for operators, or undefined if the name is unknown. */
  readonly view: (name: string, argument: string) => unknown;
}

/** A request and its response, as passed to a handler. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Values captured by the route's path pattern. */
  readonly captured: readonly string[];
  readonly host: HttpHost;
}

export type ExchangeHandler = (exchange: Exchange) => Promise<void> | void;
