/**
 * Settings of one daemon, read from its TOML file. They hold the VM's addresses and failure domain.
 * Values on which VMs must agree are configuration and are stored in the platform's table.
 */

import type { FailureDomainId, RegionId } from '../failureDomains/failureDomain';
import type { OperatorRole } from '../plans/planMessage';
import type { Address, VmAddresses, VmId } from '../vms/vm';

/** An operator with access to this VM; only the hash of the bearer token is stored. */
export interface OperatorSettings {
  readonly name: string;
  readonly role: OperatorRole;
  /** SHA-256 of the bearer token, lower-case hexadecimal. */
  readonly tokenHash: string;
}

/** Base URLs of the platform's services. */
export interface PlatformSettings {
  readonly table: string;
  readonly membership: string;
}

/** Limits on the size of callers' requests and on how slowly callers may read. */
export interface LimitSettings {
  /** Largest request body, bytes. */
  readonly bodyBytes: number;
  /** Largest sum of request headers, bytes. */
  readonly headerBytes: number;
  /** Largest prompt, tokens. */
  readonly promptTokens: number;
  /** Largest answer that a caller may ask for, tokens. */
  readonly answerTokens: number;
  /** Most bytes that this VM buffers for one slow caller. */
  readonly callerBufferBytes: number;
  /** Time after which a caller that reads nothing is disconnected, milliseconds. */
  readonly callerIdleMs: number;
  /** Most requests and calls in progress on this VM. */
  readonly concurrentRequests: number;
}

/** Keys that VMs share; the previous one is still accepted during a key rotation. */
export interface FleetKeys {
  readonly current: string;
  readonly previous?: string;
}

export interface Settings {
  readonly vm: {
    readonly id: VmId;
    readonly region: RegionId;
    readonly failureDomain: FailureDomainId;
  };
  readonly listen: VmAddresses;
  readonly platform: PlatformSettings;
  /** Name of the fleet; messages of VMs of another fleet are ignored even under the same key. */
  readonly fleet: string;
  readonly seeds: readonly Address[];
  /** Validity of an answer with addresses, milliseconds; the same on every VM. */
  readonly answerValidMs: number;
  readonly keys: FleetKeys;
  readonly operators: readonly OperatorSettings[];
  readonly limits: LimitSettings;
}

/** One error in a settings file. */
export interface SettingsError {
  readonly file: string;
  /** Dotted path of the key. */
  readonly key: string;
  /** The accepted values, and the value found. */
  readonly message: string;
}

export type SettingsResult =
  | { readonly type: 'valid'; readonly settings: Settings }
  | { readonly type: 'invalid'; readonly errors: readonly SettingsError[] };
