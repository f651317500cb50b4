/**
 * Writes to the platform's table through one writer in each failure domain, which batches the
 * conditional writes of the domain's instances.
 */
package org.snipewick.writer;
