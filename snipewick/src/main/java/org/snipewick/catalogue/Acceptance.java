package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.snipewick.identity.InstanceId;

/**
 * Answer to an accepted change.
 *
 * @param version version that it made
 * @param changeId identifier of the change
 * @param inForce instances that have confirmed that it is in force
 * @param unreachable instances that have not; they follow when they can be reached
 */
public record Acceptance(
    long version, String changeId, List<InstanceId> inForce, List<InstanceId> unreachable) {

  /** Checks and copies the parts. */
  public Acceptance {
    requireNonNull(changeId, "changeId");
    inForce = List.copyOf(inForce);
    unreachable = List.copyOf(unreachable);
  }
}
