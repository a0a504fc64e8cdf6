/**
 * Events and effects that all components of a node share: timers, counters, logs and the platform's table.
 * The shell executes these effects in one place for all components.
 */

import type { RangeRead, ReadResult, Transaction, TransactionResult } from '../contracts/table';

/** Time of an event, and randomness for the decision on it. */
export interface Occurrence {
  /** The node's monotonic clock, milliseconds. */
  readonly atMs: number;
  /** A fresh uniform 32-bit number; seeds a generator where a decision needs several draws. */
  readonly seed: number;
}

/** Name of a timer, unique in its component of the node; setting the timer again reschedules it. */
export type TimerName = string;

export interface SetTimer {
  readonly type: 'set-timer';
  readonly timer: TimerName;
  readonly afterMs: number;
}

export interface ClearTimer {
  readonly type: 'clear-timer';
  readonly timer: TimerName;
}

export interface TimerFired extends Occurrence {
  readonly type: 'timer-fired';
  readonly timer: TimerName;
}

/** Adds to a counter; the shell registers it under `citronpass_<counter>_total`. */
export interface Count {
  readonly type: 'count';
  readonly counter: string;
  readonly by: number;
  readonly labels?: Readonly<Record<string, string>>;
}

/** A log line; emitted only on changes of state. */
export interface Log {
  readonly type: 'log';
  readonly level: 'info' | 'warn' | 'error';
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Correlates an answer of the platform with its request; unique in its component of the node. */
export type CallId = string;

export interface Transact {
  readonly type: 'transact';
  readonly call: CallId;
  readonly transaction: Transaction;
}

export interface Transacted extends Occurrence {
  readonly type: 'transacted';
  readonly call: CallId;
  readonly result: TransactionResult;
}

export interface ReadRows {
  readonly type: 'read-rows';
  readonly call: CallId;
  readonly table: string;
  readonly keys: readonly string[];
}

export interface ReadRange {
  readonly type: 'read-range';
  readonly call: CallId;
  readonly range: RangeRead;
}

/** Answers `read-rows` and `read-range`. */
export interface RowsRead extends Occurrence {
  readonly type: 'rows-read';
  readonly call: CallId;
  readonly result: ReadResult;
}

/** Effects that the shell executes in the same way for every component. */
export type SharedEffect = SetTimer | ClearTimer | Count | Log | Transact | ReadRows | ReadRange;

/** Events that the shell delivers in the same way to every component. */
export type SharedEvent = TimerFired | Transacted | RowsRead;
