/**
 * Settings of one daemon, as its TOML file gives them. Addresses and failure domain come from here;
 * what must be agreed between VMs is configuration and lives in the platform's table.
 */

import type { FailureDomainId, RegionId } from '../failureDomains/failureDomain';
import type { OperatorRole } from '../plans/planMessage';
import type { Address, VmAddresses, VmId } from '../vms/vm';

/** An operator who may use this VM; only the hash of the bearer token is kept. */
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

/** Bounds on what callers may send and how slowly they may read. */
export interface LimitSettings {
  /** Largest request body, bytes. */
  readonly bodyBytes: number;
  /** Largest sum of request headers, bytes. */
  readonly headerBytes: number;
  /** Largest prompt, tokens. */
  readonly promptTokens: number;
  /** Largest answer that a caller may ask for, tokens. */
  readonly answerTokens: number;
  /** Bytes that may wait in this VM for one caller who reads slowly. */
  readonly callerBufferBytes: number;
  /** Time after which a caller who reads nothing is cut off, milliseconds. */
  readonly callerIdleMs: number;
  /** Requests and calls in progress on this VM. */
  readonly concurrentRequests: number;
}

/** Keys that VMs share; the previous one is still accepted while keys change over. */
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
  /** Name of the fleet; VMs of another one are not heard even under the same key. */
  readonly fleet: string;
  readonly seeds: readonly Address[];
  /** Time for which an answer with addresses stays good, milliseconds; alike on every VM. */
  readonly answerValidMs: number;
  readonly keys: FleetKeys;
  readonly operators: readonly OperatorSettings[];
  readonly limits: LimitSettings;
}

/** One mistake in a settings file: where, and what is accepted there. */
export interface SettingsMistake {
  readonly file: string;
  /** Dotted path of the key. */
  readonly key: string;
  /** What is accepted, and what was found. */
  readonly message: string;
}

export type SettingsResult =
  | { readonly type: 'valid'; readonly settings: Settings }
  | { readonly type: 'invalid'; readonly mistakes: readonly SettingsMistake[] };
