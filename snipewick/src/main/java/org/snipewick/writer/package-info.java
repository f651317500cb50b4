/**
 * Conditional writes to the platform's table through the writer of the failure domain, which is one
 * of its instances and receives the writes of the others in batches.
 */
package org.snipewick.writer;
