package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Change of the catalogue: what one operator put into force at once.
 *
 * @param changeId identifier; it starts with the version that the change makes
 * @param operator who made it
 * @param atEpochMillis when, in milliseconds since the Unix epoch
 * @param edits what changes
 */
public record Change(String changeId, String operator, long atEpochMillis, List<Edit> edits) {
  private static final char SEPARATOR = '-';

  /** Checks and copies the parts. */
  public Change {
    requireNonNull(changeId, "changeId");
    requireNonNull(operator, "operator");
    edits = List.copyOf(edits);
  }

  /**
   * Makes an identifier.
   *
   * @param version version that the change makes
   * @param unique number that no other change of that version has
   * @return identifier
   */
  static String identifier(long version, long unique) {
    return version + String.valueOf(SEPARATOR) + Long.toHexString(unique);
  }

  /**
   * Returns the version that a change makes if it is accepted.
   *
   * @param changeId identifier of the change
   * @return version, 0 if the text is not an identifier
   */
  static long versionOf(String changeId) {
    int end = changeId.indexOf(SEPARATOR);
    String digits = end < 0 ? "" : changeId.substring(0, end);
    return digits.matches("[0-9]{1,18}") ? Long.parseLong(digits) : 0;
  }
}
