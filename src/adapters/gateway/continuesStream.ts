/** Tells whether a success goes on with a stream that has begun: another status or another kind of body does not. */

import type { IncomingHttpHeaders, ServerResponse } from 'node:http';

/**
 * @param response the caller's response
 * @param status status of a reply
 * @param headers headers of the reply
 * @returns whether events of the reply may follow in the response; any may begin one
 */
export function continuesStream(
  response: Pick<ServerResponse, 'headersSent' | 'statusCode' | 'getHeader'>,
  status: number,
  headers: IncomingHttpHeaders,
): boolean {
  if (!response.headersSent) return true;
  const begun = response.getHeader('content-type');
  return (
    status === response.statusCode &&
    readMediaType(headers['content-type']) === readMediaType(begun)
  );
}

function readMediaType(value: number | string | readonly string[] | undefined): string {
  return (
    String(value ?? '')
      .split(';')[0]
      ?.trim()
      .toLowerCase() ?? ''
  );
}
