package org.snipewick.peer;

/**
 * Message between entry instances. Implementations are records that Jackson can map; each is
 * registered with a {@link PeerCodec} under a stable name.
 */
public interface PeerMessage {}
