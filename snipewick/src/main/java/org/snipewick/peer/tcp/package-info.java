/**
 * Peer network over TCP: connections that transmit MessagePack frames with length prefixes, all on
 * one event loop.
 */
package org.snipewick.peer.tcp;
