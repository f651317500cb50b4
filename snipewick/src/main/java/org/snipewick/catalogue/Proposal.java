package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

/**
 * Change that is proposed as the next version.
 *
 * @param version version that the change creates if it is accepted
 * @param change proposed change
 */
public record Proposal(long version, Change change) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the version is not positive
   */
  public Proposal {
    requireNonNull(change, "change");
    if (version < 1) {
      throw new IllegalArgumentException("version must be positive");
    }
  }
}
