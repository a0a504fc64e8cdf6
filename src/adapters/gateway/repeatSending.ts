/** Sends news to the other VMs soon after they come, and repeats them for VMs that have missed them. */

export interface RepeatedSending {
  /** Sends after the delay, ahead of the interval. */
  readonly sendSoon: () => void;
  readonly close: () => void;
}

export interface RepeatedSendingOptions {
  readonly send: () => void;
  /** Delay of news, which batches those that come together, milliseconds; it may change. */
  readonly delayMs: () => number;
  /** Interval of repetitions, milliseconds. */
  readonly intervalMs: number;
}

/** Starts the repetitions. */
export function repeatSending({
  send,
  delayMs,
  intervalMs,
}: RepeatedSendingOptions): RepeatedSending {
  let newsTimer: NodeJS.Timeout | undefined;
  const repeatTimer = setInterval(send, intervalMs);
  return {
    sendSoon: () => {
      newsTimer ??= setTimeout(() => {
        newsTimer = undefined;
        send();
      }, delayMs());
    },
    close: () => {
      clearTimeout(newsTimer);
      clearInterval(repeatTimer);
    },
  };
}
