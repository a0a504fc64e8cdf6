/** A loopback TCP proxy that injects network faults. */

import { createServer, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenOnLoopback } from './listenOnLoopback';

/**
 * `mute` keeps connections open and drops all bytes; `deaf` drops only the bytes of the caller. A
 * direction that dropped bytes stays blocked in later modes, because TCP never delivers later bytes
 * without the earlier ones. `hold` drops nothing: bytes, ends and new connections wait for the next mode.
 * `down` listens no longer, as after the end of a process, while open connections live; `cut` holds these too.
 * The next mode listens at the same address again.
 */
export type ProxyMode = 'pass' | 'slow' | 'mute' | 'deaf' | 'refuse' | 'hold' | 'down' | 'cut';

export interface FaultProxy {
  readonly address: string;
  readonly setMode: (mode: ProxyMode) => void;
  /** Called with each mode that is set from now on. */
  readonly onMode: (listener: (mode: ProxyMode) => void) => void;
  /**
   * Time at which the caller closed a connection, monotonic, milliseconds; it can be before the target learns of it.
   * Undefined while it is open.
   *
   * @param port port from which the proxy has opened the connection to the target
   */
  readonly callerClosedMs: (port: number) => number | undefined;
  /** Drops all further bytes of every open connection without closing it; new connections work. */
  readonly silence: () => void;
  /** Resets every open connection. */
  readonly reset: () => void;
  readonly close: () => void;
}

/** Delay of every chunk in `slow` mode, milliseconds; several times the interval between events. */
const SLOW_MS = 80;

/** Delay before another try to listen at an address that is taken for the moment. */
const LISTEN_RETRY_MS = 50;

const HOLDING_MODES: ReadonlySet<ProxyMode> = new Set(['hold', 'cut']);
const CLOSED_MODES: ReadonlySet<ProxyMode> = new Set(['down', 'cut']);

/** Starts a proxy in front of an address. */
export async function startProxy(target: string): Promise<FaultProxy> {
  const [host, port] = target.split(':');
  const open = new Set<Socket>();
  const silenced = new WeakSet<Socket>();
  const waiters = new Set<() => void>();
  const modeListeners: ((mode: ProxyMode) => void)[] = [];
  /** By port of the connection to the target. */
  const callers = new Map<number, { closedMs: number | undefined }>();
  let mode: ProxyMode = 'pass';
  let isClosed = false;
  const untilReleased = async (): Promise<void> => {
    while (HOLDING_MODES.has(mode)) await new Promise<void>((resolve) => waiters.add(resolve));
  };
  const track = (socket: Socket): void => {
    open.add(socket);
    socket.once('close', () => open.delete(socket));
    // The proxy resets connections itself, and both ends observe the reset.
    socket.on('error', () => undefined);
  };
  const pipe = (from: Socket, to: Socket, blocked: readonly ProxyMode[]): void => {
    let isBlocked = false;
    let pendingCount = 0;
    let tail = Promise.resolve();
    /** Keeps bytes in order when `slow` or `hold` mode ends between two chunks. */
    const enqueue = (work: () => void): void => {
      if (mode !== 'slow' && !HOLDING_MODES.has(mode) && pendingCount === 0) {
        work();
        return;
      }
      pendingCount += 1;
      const dueMs = performance.now() + (mode === 'slow' ? SLOW_MS : 0);
      tail = tail
        .then(() => sleepUntil(dueMs))
        .then(untilReleased)
        .then(() => {
          pendingCount -= 1;
          work();
        });
    };
    from.on('data', (chunk: Buffer) => {
      isBlocked ||= blocked.includes(mode) || silenced.has(from);
      if (!isBlocked) enqueue(() => to.write(chunk));
    });
    from.on('end', () => {
      isBlocked ||= silenced.has(from);
      if (!isBlocked) enqueue(() => to.end());
    });
    from.on('close', (hadError) => {
      if (!hadError || silenced.has(from)) return;
      if (HOLDING_MODES.has(mode)) enqueue(() => to.resetAndDestroy());
      else to.resetAndDestroy();
    });
  };
  const recordClosing = (caller: Socket, callee: Socket): void => {
    const state: { closedMs: number | undefined } = { closedMs: undefined };
    const close = (): void => {
      state.closedMs ??= performance.now();
    };
    caller.once('end', close).once('close', close);
    callee.once('connect', () => callers.set(callee.localPort ?? 0, state));
  };
  const forward = (caller: Socket): void => {
    const callee = new Socket({ allowHalfOpen: true });
    const openTarget = (): void => {
      if (mode === 'refuse') caller.resetAndDestroy();
      else if (!callee.destroyed) callee.connect(Number(port), host ?? '');
    };
    track(callee);
    callee.on('error', () => caller.resetAndDestroy());
    recordClosing(caller, callee);
    if (mode === 'hold') void untilReleased().then(openTarget);
    else openTarget();
    pipe(caller, callee, ['mute', 'deaf']);
    pipe(callee, caller, ['mute']);
  };
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    track(caller);
    forward(caller);
  });
  const address = await listenOnLoopback(server);
  const listenAgain = (): void => {
    if (!CLOSED_MODES.has(mode) && !isClosed)
      server.listen(Number(address.split(':')[1]), '127.0.0.1');
  };
  server.on('error', () => {
    setTimeout(listenAgain, LISTEN_RETRY_MS);
  });
  const reset = (): void => {
    for (const socket of [...open]) socket.resetAndDestroy();
  };
  return {
    address,
    setMode: (next) => {
      const wasClosed = CLOSED_MODES.has(mode);
      mode = next;
      if (CLOSED_MODES.has(next) && !wasClosed) server.close();
      if (!CLOSED_MODES.has(next) && wasClosed) listenAgain();
      for (const waiter of waiters) waiter();
      waiters.clear();
      for (const listener of modeListeners) listener(next);
    },
    onMode: (listener) => {
      modeListeners.push(listener);
    },
    silence: () => {
      for (const socket of open) silenced.add(socket);
    },
    callerClosedMs: (from) => callers.get(from)?.closedMs,
    reset,
    close: () => {
      isClosed = true;
      reset();
      server.close();
    },
  };
}

async function sleepUntil(dueMs: number): Promise<void> {
  const leftMs = dueMs - performance.now();
  if (leftMs > 0) await sleep(leftMs);
}
