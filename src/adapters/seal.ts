/** Authenticates what VMs send each other, datagrams and messages alike. */

export interface Seal {
  /** Gives the bytes with their proof of origin. */
  readonly close: (bytes: Uint8Array) => Uint8Array;
  /** Gives the bytes without the proof, or undefined where it does not hold. */
  readonly open: (sealed: Uint8Array) => Uint8Array | undefined;
}
