/** Authenticates the messages that VMs exchange over gRPC. */

export interface MessageAuthenticator {
  /** Returns the message with an authentication tag. */
  readonly sign: (bytes: Uint8Array) => Uint8Array;
  /** Returns the message without its tag, or undefined if the tag is invalid. */
  readonly verify: (signed: Uint8Array) => Uint8Array | undefined;
}
