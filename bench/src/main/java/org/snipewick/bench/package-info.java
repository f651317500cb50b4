/**
 * Command line of the measurements: scheduling policies in virtual time, the cost of control and of
 * requests, and soak runs under random faults.
 */
package org.snipewick.bench;
