/**
 * Access to endpoints: the clients that call model engines and plain services, and the polling of
 * the load that endpoints report.
 */
package org.snipewick.endpoint;
