/** Limits and intervals of the router component. */

import type { Priority } from './request';

/** Default limit of concurrent requests on one VM; settings may override it. */
export const MAX_RUNNING = 5_000;

/** Timeout of a query for the KV cache that engines kept, milliseconds. */
export const KV_LOOKUP_TIMEOUT_MS = 100;

/** Maximum number of attempts per request. */
export const MAX_ATTEMPTS = 12;

/** Delay before the first stall check of a stream, milliseconds. */
export const STALL_CHECK_MS = 250;

/** Minimum silence between tokens that counts as a stall, milliseconds. */
export const MIN_STALL_MS = 250;

/** Minimum silence before the first token that counts as a stall, milliseconds. */
export const FIRST_TOKEN_STALL_MS = 3_000;

/** Multiple of the expected time to the first token after which a stream counts as stalled. */
export const FIRST_TOKEN_STALL_FACTOR = 4;

/** Number of mean deviations of the token interval by which a frame may be late. */
export const STALL_DEVIATIONS = 8;

/** Multiple of the stall timeout after which a stream counts as hung although its engines serve others. */
export const HUNG_STREAM_FACTOR = 8;

/** Weight of the latest interval in the moving averages of the token interval. */
export const TOKEN_INTERVAL_SMOOTHING = 0.125;

/** Assumed mean prompt length before the first request, tokens. */
export const INITIAL_PROMPT_TOKENS = 256;

/** Assumed mean answer length before the first request, tokens. */
export const INITIAL_ANSWER_TOKENS = 128;

/** Age at which a load report has half its weight, milliseconds. */
export const REPORT_HALF_LIFE_MS = 500;

/** Resolution of the recorded time of an engine's last token, milliseconds. */
export const SERVED_RESOLUTION_MS = 20;

/** Fraction of each admitted request's work that may be repeated after failures. */
export const RETRY_CREDIT_PER_REQUEST = 0.1;

/** Maximum retry credit that can accumulate, in requests' worth of work. */
export const MAX_RETRY_CREDIT = 100;

/** Minimum charge of a retry to the retry budget, as a fraction of the request's work. */
export const MIN_RETRY_COST = 0.02;

/** Interval at which admission limits are adapted and the own usage is sent, milliseconds. */
export const ADAPTATION_INTERVAL_MS = 250;

/** Minimum limit of concurrent requests per model. */
export const MIN_LIMIT = 4;

/** Gain of the limit's proportional control: relative change per unit of relative error. */
export const LIMIT_GAIN = 0.15;

/** Ratio of latency to goal above which the limit is lowered no faster. */
export const MAX_PRESSURE = 2;

/** Fraction of the limit that must be in use before it is raised. */
export const MIN_LIMIT_UTILIZATION = 0.75;

/** Goal for the mean time to the first token, as a fraction of the target. */
export const FIRST_TOKEN_TARGET_RATIO = 0.5;

/** Goal for the mean token interval, as a fraction of the target. */
export const TOKEN_INTERVAL_TARGET_RATIO = 0.8;

/** Fraction of the limit granted to workspaces below their fair share and withheld from those above. */
export const FAIR_SHARE_MARGIN = 0.1;

/** Fraction of the limit up to which requests of each priority are admitted. */
export const PRIORITY_LIMIT_RATIO: Readonly<Record<Priority, number>> = {
  interactive: 1,
  standard: 0.9,
  batch: 0.7,
};

/** Time after which the load of a workspace without requests is discarded, milliseconds. */
export const IDLE_WORKSPACE_MS = 10_000;

/** Maximum number of workspaces in one digest; the busiest ones are kept. */
export const MAX_SHARED_WORKSPACES = 100;

/** Credit that a rate limit can accumulate, as milliseconds at the full rate. */
export const BUCKET_CAPACITY_MS = 1000;

/** Minimum retry delay given to refused callers, milliseconds. */
export const RETRY_AFTER_MS = 500;

/** Jitter of that delay, which keeps refused callers from retrying together, milliseconds. */
export const RETRY_JITTER_MS = 1000;

/** Name of the timer that adapts admission. */
export const ADMISSION_TIMER = 'admission';

/** Number of crashes after which content is refused. */
export const MAX_CRASHES = 2;

/** Time for which a crash counts against content, milliseconds. */
export const SUSPECT_EXPIRY_MS = 60_000;

/** Maximum number of suspect contents that one VM records. */
export const MAX_SUSPECTS = 10_000;

/** Number of crashed servers in one failure domain within the window that count as an outage. */
export const OUTAGE_CRASHES = 3;

/** Time window for detecting an outage from crashes, milliseconds. */
export const CRASH_WINDOW_MS = 2000;

/** Delay of a suspect's second attempt, in which its record reaches the other VMs, milliseconds. */
export const SUSPECT_PROPAGATION_MS = 400;

/** Maximum time that a suspect waits for its servers to become free, milliseconds. */
export const SUSPECT_WAIT_MS = 3000;

/** Interval at which a waiting suspect checks whether its servers are free, milliseconds. */
export const SUSPECT_CHECK_MS = 50;

/** Number of tokens after a crash that clear content of suspicion. */
export const CLEARING_TOKENS = 2;

/** Time for which a failed engine is avoided unless it produces a token, milliseconds. */
export const FAILURE_PENALTY_MS = 2000;

/** Load multiplier of such an engine. */
export const FAILURE_LOAD_FACTOR = 1000;

/** Minimum silence after reopening a stream that counts as a stall, milliseconds. */
export const RESUME_STALL_MS = 500;

/** Number of engines of one failure domain whose recent failures mark the whole domain as failed. */
export const FAILED_DOMAIN_ENGINES = 2;
