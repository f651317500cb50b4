/** Peer network over TCP: length-prefixed MessagePack frames on one event loop. */
package org.snipewick.peer.tcp;
