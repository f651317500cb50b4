/** Orders to endpoints over HTTP, sent under a lease. */
package org.snipewick.lease.http;
