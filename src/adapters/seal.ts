/** Authenticates the messages that VMs send each other on the reliable channel. */

export interface Seal {
  /** Gives the bytes with their proof of origin. */
  readonly close: (bytes: Uint8Array) => Uint8Array;
  /** Gives the bytes without the proof, or undefined where it does not hold. */
  readonly open: (sealed: Uint8Array) => Uint8Array | undefined;
}
