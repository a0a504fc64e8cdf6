/** Limits and times of the router side. */

/** Requests that one VM runs at once, unless its settings say otherwise. */
export const MAX_RUNNING = 5_000;

/** Time that engines have to answer what KV cache they kept, milliseconds. */
export const KV_LOOKUP_MS = 60;

/** Attempts that one request gets at most. */
export const MAX_ATTEMPTS = 6;

/** Time after which a stream is first looked at for a stall, milliseconds. */
export const STALL_CHECK_MS = 250;

/** Least silence that counts as a stall, milliseconds. */
export const STALL_FLOOR_MS = 250;

/** Time that a first token may take where nothing is known of the pace, milliseconds. */
export const FIRST_TOKEN_STALL_MS = 10_000;

/** Mean deviations of the token interval by which a frame may be late. */
export const STALL_DEVIATIONS = 8;

/** Weight of the latest token interval in the moving averages of the pace. */
export const PACE_WEIGHT = 0.125;
