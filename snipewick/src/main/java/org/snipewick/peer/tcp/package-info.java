/**
 * Peer network over TCP: connections that carry length-prefixed MessagePack frames, all on one
 * event loop.
 */
package org.snipewick.peer.tcp;
