/** Adapters of the endpoints' interfaces to HTTP, as written in {@code docs/FORMATS.md}. */
package org.snipewick.endpoint.http;
