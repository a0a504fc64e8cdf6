/**
 * Bounds the memory of all replies of a VM together: those that are being received, and those that their callers have not
 * taken yet. The load: faulty servers that send without end to many requests at once, each reply within its own bound.
 * Where the memory runs out, the incomplete reply that holds most gives way, and complete ones only after those. Replies
 * of sound servers are far smaller, so they keep theirs.
 */

export interface ReplyMemory {
  /**
   * Begins to count a reply.
   *
   * @param onRevoked called if the reply has to give up its memory; it holds none from then on
   */
  readonly open: (onRevoked: () => void) => ReplyHold;
  /** Memory that all replies hold, bytes. */
  readonly heldBytes: () => number;
}

export interface ReplyHold {
  /** States how many bytes of the reply are kept. Does nothing once the reply has given way. */
  readonly keep: (bytes: number) => void;
  /** States that the reply is complete and waits for its caller. */
  readonly complete: () => void;
  readonly release: () => void;
}

export interface ReplyMemoryOptions {
  readonly maxBytes: number;
  /** Called for each reply that gives way. */
  readonly onRevoked?: () => void;
}

interface Reply {
  readonly id: number;
  readonly bytes: number;
  readonly isComplete: boolean;
  readonly onRevoked: () => void;
}

/** A buffer that grows in steps holds up to twice its bytes. */
const BYTES_HELD_PER_BYTE = 2;

export function createReplyMemory(options: ReplyMemoryOptions): ReplyMemory {
  const { maxBytes, onRevoked: onAnyRevoked } = options;
  const replies = new Map<number, Reply>();
  let lastId = 0;
  let heldBytes = 0;
  const release = (id: number): void => {
    heldBytes -= replies.get(id)?.bytes ?? 0;
    replies.delete(id);
  };
  const revokeLargest = (): void => {
    const largest = [...replies.values()].reduce((one, other) =>
      isLarger(other, one) ? other : one,
    );
    release(largest.id);
    largest.onRevoked();
    onAnyRevoked?.();
  };
  return {
    open: (onRevoked) => {
      lastId += 1;
      const id = lastId;
      replies.set(id, { id, bytes: 0, isComplete: false, onRevoked });
      return {
        keep: (keptBytes) => {
          const reply = replies.get(id);
          if (reply === undefined) return;
          const bytes = BYTES_HELD_PER_BYTE * keptBytes;
          heldBytes += bytes - reply.bytes;
          replies.set(id, { ...reply, bytes });
          while (heldBytes > maxBytes) revokeLargest();
        },
        complete: () => {
          const reply = replies.get(id);
          if (reply !== undefined) replies.set(id, { ...reply, isComplete: true });
        },
        release: () => {
          release(id);
        },
      };
    },
    heldBytes: () => heldBytes,
  };
}

function isLarger(one: Reply, other: Reply): boolean {
  if (one.isComplete !== other.isComplete) return other.isComplete;
  return one.bytes > other.bytes;
}
