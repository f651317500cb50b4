package org.snipewick.identity;

import static java.util.Objects.requireNonNull;

/** Validates the names that the identifiers of this package hold. */
final class Names {
  private static final int MAX_CHARACTERS = 128;

  private Names() {}

  /** Throws an exception if a name is null, empty, too long or not visible ASCII. */
  static void check(String value, String type) {
    requireNonNull(value, type);
    boolean visible = value.chars().allMatch(character -> character > ' ' && character < 127);
    if (value.isEmpty() || value.length() > MAX_CHARACTERS || !visible) {
      throw new IllegalArgumentException(
          type + " must be 1 to " + MAX_CHARACTERS + " visible ASCII characters");
    }
  }
}
