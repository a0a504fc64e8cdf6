/** A request body that is being received. */
export interface OpenBody {
  readonly id: number;
  /** Sender; bodies of one source count together. */
  readonly source: string;
  /** Memory that the body holds. */
  readonly heldBytes: number;
  /** Time at which its last piece was received, monotonic, milliseconds. */
  readonly lastPieceMs: number;
}
