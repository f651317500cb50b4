/**
 * Strict reader of HTTP/1.1 responses (RFC 9112 and 9110). It reads the bytes of a connection
 * before the HTTP client does, as the client's own parser accepts malformed heads.
 */
package org.snipewick.transport.response;
