package org.snipewick.identity;

import static java.util.Objects.requireNonNull;

/** Check shared by all identifiers. */
final class Names {
  private static final int MAX_LENGTH = 128;

  private Names() {}

  static void check(String value, String type) {
    requireNonNull(value, type);
    boolean visible = value.chars().allMatch(character -> character > ' ' && character < 127);
    if (value.isEmpty() || value.length() > MAX_LENGTH || !visible) {
      throw new IllegalArgumentException(
          type + " must be 1 to " + MAX_LENGTH + " visible ASCII characters");
    }
  }
}
