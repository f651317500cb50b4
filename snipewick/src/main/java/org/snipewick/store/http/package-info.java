/** Adapters to the platform over HTTP: batched writes, budgeted retries, fast failure. */
package org.snipewick.store.http;
