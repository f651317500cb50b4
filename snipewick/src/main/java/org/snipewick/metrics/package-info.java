/** Metrics by Dropwizard, published in the Prometheus text format. */
package org.snipewick.metrics;
