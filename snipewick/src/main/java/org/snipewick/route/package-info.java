/** What operators demand of requests: routes, pools, teams and their keys, by version. */
package org.snipewick.route;
