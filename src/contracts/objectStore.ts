/** The platform's object store as the router uses it: immutable blobs under a name. */

export type ObjectResult<Value> =
  | { readonly type: 'ok'; readonly value: Value }
  | { readonly type: 'missing' }
  | { readonly type: 'ambiguous'; readonly detail: string }
  | { readonly type: 'unavailable'; readonly detail: string };

export interface ObjectStore {
  readonly put: (name: string, body: Uint8Array) => Promise<ObjectResult<undefined>>;
  readonly get: (name: string) => Promise<ObjectResult<Uint8Array>>;
}
