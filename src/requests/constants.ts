/** Limits and times of the router side. */

import type { Priority } from './request';

/** Requests that one VM runs at once, unless its settings say otherwise. */
export const MAX_RUNNING = 5_000;

/** Time that engines have to answer what KV cache they kept, milliseconds. */
export const KV_LOOKUP_MS = 100;

/** Attempts that one request gets at most. */
export const MAX_ATTEMPTS = 12;

/** Time after which a stream is first looked at for a stall, milliseconds. */
export const STALL_CHECK_MS = 250;

/** Least silence that counts as a stall, milliseconds. */
export const STALL_FLOOR_MS = 250;

/** Least silence before the first token that counts as a stall, milliseconds. */
export const FIRST_TOKEN_STALL_MS = 3_000;

/** Expected times to the first token after which a stream counts as stalled before it. */
export const FIRST_TOKEN_FACTOR = 4;

/** Mean deviations of the token interval by which a frame may be late. */
export const STALL_DEVIATIONS = 8;

/** Allowed silences after which a stream hangs although its engines serve others. */
export const HUNG_FACTOR = 8;

/** Weight of the latest token interval in the moving averages of the pace. */
export const PACE_WEIGHT = 0.125;

/** Mean prompt before any request was seen, tokens. */
export const PROMPT_TOKENS = 256;

/** Mean answer before any request was seen, tokens. */
export const ANSWER_TOKENS = 128;

/** Age at which a load report counts half, milliseconds. */
export const REPORT_HALF_LIFE_MS = 500;

/** Grain in which the last token of an engine is noted, milliseconds. */
export const SERVED_STEP_MS = 20;

/** Part of each admitted request's work that may be done twice after failures. */
export const RETRY_SHARE = 0.1;

/** Requests' worth of repeated work that can be saved up. */
export const RETRY_BURST = 100;

/** Least cost of another attempt to the retry budget, as part of the request's work. */
export const RETRY_FLOOR = 0.02;

/** Time between two adaptations of admission, each with a digest of the own use, milliseconds. */
export const ADAPT_MS = 250;

/** Least limit of requests that run at once. */
export const LIMIT_FLOOR = 4;

/** Part of the limit by which one adaptation moves it, for each goal's distance from the goal. */
export const LIMIT_GAIN = 0.15;

/** Times over its goal beyond which a lateness lowers the limit no faster. */
export const MOST_PRESSURE = 2;

/** Part of the limit that has to be used before it is raised. */
export const LIMIT_USED = 0.75;

/** Part of the target for the first token that the mean is held at. */
export const FIRST_TOKEN_GOAL = 0.5;

/** Part of the target for the time between tokens that the mean is held at. */
export const INTERVAL_GOAL = 0.8;

/** Part of the limit by which workspaces under and over their share are told apart. */
export const SHARE_ROOM = 0.1;

/** Part of the limit up to which requests of a priority are taken in. */
export const FILL_OF_PRIORITY: Readonly<Record<Priority, number>> = {
  interactive: 1,
  standard: 0.9,
  batch: 0.7,
};

/** Time after which a workspace without requests no longer counts for fair shares, milliseconds. */
export const IDLE_WORKSPACE_MS = 10_000;

/** Workspaces that one digest names at most; the busiest ones. */
export const MAX_SHARED_WORKSPACES = 100;

/** Use of a rate limit that can be saved up, milliseconds. */
export const BUCKET_MS = 1000;

/** Least time after which a refused caller may come back, milliseconds. */
export const RETRY_AFTER_MS = 500;

/** Spread of that time, so that refused callers do not come back together, milliseconds. */
export const RETRY_JITTER_MS = 1000;

/** Timer of the adaptation of admission. */
export const ADMISSION_TIMER = 'admission';

/** Crashes after which a content is refused. */
export const MAX_CRASHES = 2;

/** Time for which a crash is held against a content, milliseconds. */
export const SUSPECT_MS = 60_000;

/** Contents that one VM holds crashes against at most. */
export const MAX_SUSPECTS = 10_000;

/** Crashes of one failure domain within the window that make an outage. */
export const OUTAGE_CRASHES = 3;

/** Window in which crashes make an outage, milliseconds. */
export const CRASH_WINDOW_MS = 2000;

/** Time before a suspect's second try, in which the other VMs learn of it, milliseconds. */
export const SUSPECT_NEWS_MS = 400;

/** Time for which a suspect waits for its turn at most, milliseconds. */
export const TURN_WAIT_MS = 3000;

/** Time between two looks whether a suspect's turn has come, milliseconds. */
export const TURN_CHECK_MS = 50;

/** Tokens after a crash that clear a content of it. */
export const CLEARING_TOKENS = 2;

/** Time for which an engine that failed a stream is avoided unless it serves others, milliseconds. */
export const FAILED_MS = 2000;

/** Factor of the load of such an engine. */
export const FAILED_FACTOR = 1000;

/** Least silence after a resumed stream was opened that counts as a stall, milliseconds. */
export const RESUME_STALL_MS = 500;

/** Engines of one failure domain that have to fail together for the domain to be taken for lost. */
export const LOST_DOMAIN_FAILURES = 2;
