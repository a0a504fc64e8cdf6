/**
 * Guarantees of a plain service for one method and path: whether a call may be repeated, and how an
 * unknown outcome can be resolved.
 */

export interface MethodContract {
  /** Upper-case HTTP method. */
  readonly method: string;
  /** Path, or a prefix that ends with `*`. */
  readonly path: string;
  readonly isIdempotent: boolean;
  /** Whether the backend server answers a repeated `Idempotency-Key` without running twice. */
  readonly honoursIdempotencyKey: boolean;
  /** Path of the status look-up, with `{id}` in place of the operation id, if there is one. */
  readonly statusPath?: string;
  /** Time limit of one call, milliseconds. */
  readonly timeoutMs: number;
  /** Largest request body, bytes. */
  readonly maxBodyBytes: number;
}
