/** Time limits, sizes and defaults of the adapters. */

import { BYTES_PER_MIB } from '../units';

/** Time limit for establishing a TCP connection, milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Time limit of one call to a platform service, milliseconds. */
export const PLATFORM_TIMEOUT_MS = 2000;

/** Time limit of one health probe, load request or stream cancellation at a backend server, milliseconds. */
export const PROBE_TIMEOUT_MS = 1000;

/** Time limit of an order to an engine, milliseconds. Loading a model takes longer, so it is polled. */
export const ORDER_TIMEOUT_MS = 5000;

/** Time limit of one message between VMs, milliseconds. */
export const PEER_TIMEOUT_MS = 2000;

/** Maximum length of a line in an engine's stream, bytes. */
export const MAX_STREAM_LINE_BYTES = BYTES_PER_MIB;

/** Maximum size of a plain service's response body, bytes. */
export const MAX_ANSWER_BYTES = 4 * BYTES_PER_MIB;

/** Maximum number of stream connections to each backend server. */
export const MAX_CONNECTIONS_PER_SERVER = 1024;

/** Maximum number of open connections to other VMs; a VM talks to a fixed number of peers. */
export const MAX_PEER_CONNECTIONS = 64;

/** Time that a forwarded call may take beyond the time limit of its method contract, milliseconds. */
export const FORWARD_TIMEOUT_MS = 60_000;

/** Maximum number of answer tokens if the caller sets none. */
export const DEFAULT_ANSWER_TOKENS = 256;

/** Retry delay sent to a caller when this VM is at its request limit, milliseconds. */
export const FULL_VM_RETRY_AFTER_MS = 1000;

/** Time limit for receiving a complete request from a caller, milliseconds. */
export const REQUEST_READ_TIMEOUT_MS = 15_000;

/** Default number of audit trail rows in one response. */
export const DEFAULT_AUDIT_ROWS = 50;

/** Maximum number of audit trail rows in one response. */
export const MAX_AUDIT_ROWS = 1000;

/** Time limit for an engine to list its KV exports, milliseconds; the router proceeds shortly after. */
export const KV_LOOKUP_TIMEOUT_MS = 80;
