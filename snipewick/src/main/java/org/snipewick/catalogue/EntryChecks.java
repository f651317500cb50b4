package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.Tier;

/** Argument checks shared by all kinds of catalogue entries. */
final class EntryChecks {
  private static final int MAX_NAME_LENGTH = 128;

  private EntryChecks() {}

  /**
   * Checks the fields that all entries have.
   *
   * @throws NullPointerException if a field is null
   * @throws IllegalArgumentException if the name or owner is blank or the name is too long
   */
  static void checkCommonFields(String name, String owner, Tier tier) {
    requireNonNull(name, "name");
    requireNonNull(owner, "owner");
    requireNonNull(tier, "tier");
    if (name.isBlank() || name.length() > MAX_NAME_LENGTH) {
      throw new IllegalArgumentException(
          "name must not be blank or exceed " + MAX_NAME_LENGTH + " characters");
    }
    if (owner.isBlank()) {
      throw new IllegalArgumentException("owner must not be blank: " + name);
    }
  }

  /**
   * Checks that a value is positive.
   *
   * @param field name of the field, for the error message
   * @throws IllegalArgumentException if the value is not above 0
   */
  static void checkPositive(double value, String field) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(field + " must be positive but is " + value);
    }
  }
}
