package org.snipewick.discovery;

import org.snipewick.peer.PeerMessage;

/** Requests all known endpoints from another instance of the failure domain. */
public record EndpointsQuery() implements PeerMessage {}
