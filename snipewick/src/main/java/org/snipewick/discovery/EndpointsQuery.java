package org.snipewick.discovery;

import org.snipewick.peer.PeerMessage;

/** Asks another instance of the domain which endpoints it knows. */
public record EndpointsQuery() implements PeerMessage {}
