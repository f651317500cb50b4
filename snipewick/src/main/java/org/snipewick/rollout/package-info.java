/**
 * Rollouts: moves the traffic of a pool to the endpoints of another version when the operator
 * orders it. Instances bound what they send to that version by their own counts, share what they
 * observe through the store, and decide from it by the same pure code.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}, if the settings list the contract.
 */
package org.snipewick.rollout;
