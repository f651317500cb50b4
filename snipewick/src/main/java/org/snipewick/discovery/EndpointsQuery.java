package org.snipewick.discovery;

import org.snipewick.peer.PeerMessage;

/** Request for all endpoints that another instance of the failure domain has stored. */
public record EndpointsQuery() implements PeerMessage {}
