/** What looks after running streams, as the streams see it. */

/** A running stream as the watch sees it. */
export interface WatchedStream {
  /** Looks at how long the stream has been silent. */
  readonly check: () => void;
  readonly onServerLost: (id: string) => void;
  readonly onServerLeaving: (id: string) => void;
}

export interface StreamWatch {
  readonly add: (stream: WatchedStream) => void;
  readonly remove: (stream: WatchedStream) => void;
}
