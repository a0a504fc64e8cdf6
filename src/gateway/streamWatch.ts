/** Interface between running streams and the watch that checks them periodically. */

/** A running stream that the watch checks. */
export interface WatchedStream {
  /** Checks how long the stream has been silent. */
  readonly check: () => void;
  readonly onServerSuspected: (id: string) => void;
  readonly onServerLeaving: (id: string) => void;
}

export interface StreamWatch {
  readonly add: (stream: WatchedStream) => void;
  readonly remove: (stream: WatchedStream) => void;
}
