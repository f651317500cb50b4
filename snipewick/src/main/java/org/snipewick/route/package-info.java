/**
 * Versioned configuration of routes, pools, teams and their keys, as set by operators.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.catalogue} is the
 * counterpart in the entry process.
 */
package org.snipewick.route;
