/**
 * Quarantine of prompt parts that crash endpoints. Instances record which parts were at an endpoint
 * when it crashed and which were answered, share these records through the store, and refuse
 * requests with a part that they convict.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}.
 */
package org.snipewick.quarantine;
