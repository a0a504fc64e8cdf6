/** Parses a settings file and reports all its errors at once. */

import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';
import { readSecret } from './readSecret';
import type { Settings, SettingsError, SettingsResult } from './settings';
import { settingsSchema } from './settingsSchema';
import type { SecretSource, SettingsFile } from './settingsSchema';

export interface ParseSettingsOptions {
  /** Name of the file, for error reports. */
  readonly file: string;
  readonly environment?: Readonly<Record<string, string | undefined>>;
}

/**
 * Parses TOML text into settings and reads the secrets that it refers to.
 *
 * @param source the text of the file
 * @param options the file's name and the environment variables
 * @returns the settings, or every error with its file, its key and the accepted values
 */
export function parseSettings(source: string, options: ParseSettingsOptions): SettingsResult {
  const { file, environment = process.env } = options;
  const document = parseToml(source);
  if (typeof document === 'string') {
    return { type: 'invalid', errors: [{ file, key: '(whole file)', message: document }] };
  }
  const parsed = settingsSchema.safeParse(document);
  const errors = (parsed.error?.issues ?? []).flatMap((issue) => listErrors(issue, file));
  if (!parsed.success) return { type: 'invalid', errors };
  return addSecrets(parsed.data, file, environment);
}

function parseToml(source: string): object | string {
  try {
    return parse(source);
  } catch (error) {
    if (error instanceof TomlError) return `not TOML: ${error.message.trim()}`;
    throw error;
  }
}

function listErrors(issue: z.core.$ZodIssue, file: string): SettingsError[] {
  const path = issue.path.map(String);
  const keys = issue.code === 'unrecognized_keys' ? issue.keys : [undefined];
  return keys.map((key) => ({
    file,
    key: [...path, ...(key === undefined ? [] : [key])].join('.'),
    message: issue.message,
  }));
}

function addSecrets(
  checked: SettingsFile,
  file: string,
  environment: Readonly<Record<string, string | undefined>>,
): SettingsResult {
  const errors: SettingsError[] = [];
  const read = (key: string, source: SecretSource): string => {
    const result = readSecret(source, environment);
    if (result.type === 'read') return result.secret;
    errors.push({ file, key, message: result.message });
    return '';
  };
  const current = read('fleet.key', checked.fleet.key);
  const { previous_key: previousSource } = checked.fleet;
  const previous =
    previousSource === undefined ? {} : { previous: read('fleet.previous_key', previousSource) };
  if (errors.length > 0) return { type: 'invalid', errors };
  return { type: 'valid', settings: toSettings(checked, { current, ...previous }) };
}

function toSettings(checked: SettingsFile, keys: Settings['keys']): Settings {
  const { vm, listen, platform, fleet, operators, limits } = checked;
  return {
    vm: { id: vm.id, region: vm.region, failureDomain: vm.failure_domain },
    listen,
    platform,
    fleet: fleet.name,
    seeds: fleet.seeds,
    answerValidMs: fleet.answer_valid_ms,
    keys,
    operators: operators.map(({ name, role, token_hash: tokenHash }) => ({
      name,
      role,
      tokenHash,
    })),
    limits: {
      bodyBytes: limits.body_bytes,
      headerBytes: limits.header_bytes,
      promptTokens: limits.prompt_tokens,
      answerTokens: limits.answer_tokens,
      callerBufferBytes: limits.caller_buffer_bytes,
      callerIdleMs: limits.caller_idle_ms,
      concurrentRequests: limits.concurrent_requests,
    },
  };
}
