/** Sending of orders to endpoints over HTTP. */
package org.snipewick.lease.http;
