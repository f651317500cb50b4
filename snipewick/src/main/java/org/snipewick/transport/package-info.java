/**
 * HTTP on an event loop: a client whose requests can be cancelled, and a tracker of server
 * connections that detects disconnected and slow callers.
 */
package org.snipewick.transport;
