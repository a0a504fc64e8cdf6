/** Lists what a request has in common with others that may end servers as it does. */

export interface ContentParts {
  /** Fingerprint of the whole request. */
  readonly request: string;
  readonly service: string;
  /** Ids of the parts of its prompt that other requests share. */
  readonly sharedParts: readonly string[];
}

/** @returns the contents; parts of the same id at two services are different contents */
export function listContents({ request, service, sharedParts }: ContentParts): readonly string[] {
  const parts = [...new Set(sharedParts)];
  return [`request:${request}`, ...parts.map((part) => `part:${service}:${part}`)];
}
