/** Enforcement of team limits over all instances by leased shares of each limit. */
package org.snipewick.limits;
