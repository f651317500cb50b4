package org.snipewick.identity;

import static java.util.Objects.requireNonNull;

/** Validation of the names in the identifiers of this package. */
final class Names {
  private static final int MAX_CHARACTERS = 128;

  private Names() {}

  /**
   * Checks a name.
   *
   * @param value the name
   * @param type type of the identifier, for the message of the exception
   * @throws IllegalArgumentException if the name is not 1 to 128 visible ASCII characters
   */
  static void check(String value, String type) {
    requireNonNull(value, type);
    boolean visible = value.chars().allMatch(character -> character > ' ' && character < 127);
    if (value.isEmpty() || value.length() > MAX_CHARACTERS || !visible) {
      throw new IllegalArgumentException(
          type + " must be 1 to " + MAX_CHARACTERS + " visible ASCII characters");
    }
  }
}
