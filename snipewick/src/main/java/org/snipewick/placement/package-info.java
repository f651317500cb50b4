/**
 * Decisions of an entry instance that places requests by itself: which waiting request is next,
 * which endpoint gets it, who is refused and when to come back. Pure: time comes as an argument.
 */
package org.snipewick.placement;
