/**
 * HTTP server for callers: parses their requests, passes them to {@link
 * org.snipewick.request.RequestPipeline} and writes the responses.
 */
package org.snipewick.request.http;
