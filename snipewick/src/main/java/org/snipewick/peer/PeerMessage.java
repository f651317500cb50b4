package org.snipewick.peer;

/**
 * Message between entry instances. Implementations are records that Jackson can map. Each is
 * registered with a {@link PeerCodec} under a name that stays the same in later versions.
 */
public interface PeerMessage {}
