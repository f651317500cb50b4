/** Versioned configuration of routes, pools, teams and their keys, as set by operators. */
package org.snipewick.route;
