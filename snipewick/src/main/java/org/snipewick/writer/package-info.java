/** One writer of conditional writes to the platform's table in each failure domain. */
package org.snipewick.writer;
