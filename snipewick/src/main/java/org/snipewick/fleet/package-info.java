/**
 * Discovery of the instances through the store, and the reports and proofs that they exchange.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.membership} is the
 * counterpart in the entry process.
 */
package org.snipewick.fleet;
