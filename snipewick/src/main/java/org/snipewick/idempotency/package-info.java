/** Dispatched at most once: who remembers a request, and what a repeat is told. */
package org.snipewick.idempotency;
