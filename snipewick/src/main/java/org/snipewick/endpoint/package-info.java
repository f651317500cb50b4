/** Calls to model engines and plain services, and the load that they report. */
package org.snipewick.endpoint;
