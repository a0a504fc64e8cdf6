/** Named figures of the adapters. */

import { BYTES_PER_MIB } from '../units';

/** Time in which a TCP connection has to be made, milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Time limit of one call to the platform, milliseconds. */
export const PLATFORM_TIMEOUT_MS = 2000;

/** Time limit of one probe, load report or cancel at a backend server, milliseconds. */
export const PROBE_TIMEOUT_MS = 1000;

/** Time limit of an order to an engine, milliseconds; loading a model takes longer and is polled. */
export const ORDER_TIMEOUT_MS = 5000;

/** Time limit of one message between VMs, milliseconds. */
export const PEER_TIMEOUT_MS = 2000;

/** Longest line of an engine's stream, bytes. */
export const MAX_STREAM_LINE_BYTES = BYTES_PER_MIB;

/** Largest answer of a plain service, bytes. */
export const MAX_ANSWER_BYTES = 4 * BYTES_PER_MIB;

/** Connections kept to each backend server for streams, at most. */
export const MAX_CONNECTIONS_PER_SERVER = 1024;

/** Connections kept to other VMs, at most; a VM talks to a fixed fan-out of them. */
export const MAX_PEER_CONNECTIONS = 64;

/** Time that a forwarded call may take beyond the time limit of its own contract, milliseconds. */
export const FORWARD_TIMEOUT_MS = 60_000;

/** Tokens of an answer where the caller names no number. */
export const DEFAULT_ANSWER_TOKENS = 256;

/** When a caller who met a full VM is told to come back, milliseconds. */
export const FULL_VM_RETRY_MS = 1000;

/** Time in which a caller has to send a whole request, milliseconds. */
export const REQUEST_READ_TIMEOUT_MS = 15_000;

/** Rows of the audit trail in one answer where the operator names no number. */
export const DEFAULT_AUDIT_ROWS = 50;

/** Most rows of the audit trail in one answer. */
export const MAX_AUDIT_ROWS = 1000;

/** Time that an engine has to say what KV cache it keeps; the router goes on soon after, milliseconds. */
export const KV_ANSWER_MS = 80;
