package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.Tier;

/** Checks shared by all kinds of entries. */
final class Checks {
  private static final int MAX_NAME_LENGTH = 128;

  private Checks() {}

  static void common(String name, String owner, Tier tier) {
    requireNonNull(name, "name");
    requireNonNull(owner, "owner");
    requireNonNull(tier, "tier");
    if (name.isBlank() || name.length() > MAX_NAME_LENGTH) {
      throw new IllegalArgumentException("name must have 1 to " + MAX_NAME_LENGTH + " characters");
    }
    if (owner.isBlank()) {
      throw new IllegalArgumentException("owner must not be blank: " + name);
    }
  }

  static void positive(double value, String field) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(field + " must be positive but is " + value);
    }
  }
}
