/** Updates fields of the configuration's state. */

import type { ConfigurationState } from '../configuration/configurationState';
import type { Fleet } from './fleet';

/** @returns the fleet with these fields of its configuration's state replaced */
export function withConfiguration(fleet: Fleet, changes: Partial<ConfigurationState>): Fleet {
  return { ...fleet, configuration: { ...fleet.configuration, ...changes } };
}
