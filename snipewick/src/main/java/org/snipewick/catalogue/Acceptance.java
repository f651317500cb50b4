package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.snipewick.identity.InstanceId;

/**
 * Response to an accepted change.
 *
 * @param version catalogue version that the change created
 * @param changeId identifier of the change
 * @param inForce instances that have confirmed that the change is in force
 * @param unreachable instances that have not confirmed; they apply the change once they can be
 *     reached
 */
public record Acceptance(
    long version, String changeId, List<InstanceId> inForce, List<InstanceId> unreachable) {

  /** Checks the components and copies the lists. */
  public Acceptance {
    requireNonNull(changeId, "changeId");
    inForce = List.copyOf(inForce);
    unreachable = List.copyOf(unreachable);
  }
}
