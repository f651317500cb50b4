/**
 * Idempotency keys: a request with a key is dispatched at most once across all instances, and a
 * duplicate request receives the stored answer of the first one, or its state if there is none. A
 * request claims its key before its dispatch. For an action the claim is an intent row that is
 * inserted into the platform's table; for other requests it is granted by the key's registrar, an
 * instance that keeps the records of the key in memory.
 */
package org.snipewick.idempotency;
