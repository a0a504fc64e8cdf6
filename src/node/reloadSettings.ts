/** Reads the settings again. Settings that cannot be read leave the current ones in force. */

import type { LogFields } from '../gateway/job';
import type { GatewaySettings } from './gatewaySettings';

export function reloadSettings(
  current: GatewaySettings,
  read: () => GatewaySettings,
  log: (message: string, fields: LogFields) => void,
): GatewaySettings {
  try {
    const settings = read();
    log('settings reloaded', {});
    return settings;
  } catch (error) {
    log('settings not readable', { error: String(error) });
    return current;
  }
}
