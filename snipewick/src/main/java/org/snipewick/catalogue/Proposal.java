package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

/**
 * Change that is to make the next version.
 *
 * @param version version that it makes if it is accepted
 * @param change content
 */
public record Proposal(long version, Change change) {

  /** Checks the parts. */
  public Proposal {
    requireNonNull(change, "change");
    if (version < 1) {
      throw new IllegalArgumentException("version must be positive");
    }
  }
}
