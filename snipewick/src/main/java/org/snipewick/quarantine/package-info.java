/**
 * Quarantine of prompt parts that crash endpoints: which requests contain them, and on what
 * evidence.
 */
package org.snipewick.quarantine;
