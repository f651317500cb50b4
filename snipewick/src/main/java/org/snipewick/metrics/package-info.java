/** Output of Dropwizard metrics in the Prometheus text format. */
package org.snipewick.metrics;
