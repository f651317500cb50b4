/**
 * Typed identifiers of instances, failure domains, teams, pools, endpoints and requests, and the
 * tiers of requests.
 */
package org.snipewick.identity;
