/** One HTTP exchange, and what its handlers need of the node. */

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

/** Answer of the plans side to an operator. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Those who wait for answers of the node, by what they wait for. */
export interface Waiting {
  /** Every response that has not been handed to the system whole; a drain waits for them. */
  readonly responses: Set<ServerResponse>;
  readonly streams: Map<RequestId, CallerStream>;
  readonly calls: PendingCalls<CallResult>;
  readonly tickets: PendingCalls<string>;
  readonly addresses: PendingCalls<AddressAnswer>;
  readonly operators: PendingCalls<OperatorAnswer>;
}

/** What the HTTP side needs of the node. */
export interface HttpHost {
  readonly send: Send;
  readonly configuration: () => Configuration;
  readonly waiting: Waiting;
  readonly limits: LimitSettings;
  readonly operators: readonly OperatorSettings[];
  /** A fresh id, unique in the fleet. */
  readonly createId: () => string;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly count: (counter: string, labels?: Readonly<Record<string, string>>) => void;
  readonly metrics: () => Promise<{ readonly contentType: string; readonly text: string }>;
  readonly readiness: () => { readonly isReady: boolean; readonly reason: string };
  /** Views of the node for operators; undefined where there is none of that name. */
  readonly view: (name: string, argument: string) => unknown;
}

/** A request on its way to its handler. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** What the path's pattern captured. */
  readonly captured: readonly string[];
  readonly host: HttpHost;
}

export type ExchangeHandler = (exchange: Exchange) => Promise<void> | void;
