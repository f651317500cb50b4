/** Endpoints as they are listed, by pool, with those kept whose entries lapsed in an outage. */
package org.snipewick.roster;
