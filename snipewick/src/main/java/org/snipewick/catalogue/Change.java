package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Change of the catalogue: edits of one operator that take effect together.
 *
 * @param changeId identifier, which starts with the version that the change creates
 * @param operator name of the operator
 * @param atEpochMillis when the change was proposed, in milliseconds since the Unix epoch
 * @param edits edits, applied in order
 */
public record Change(String changeId, String operator, long atEpochMillis, List<Edit> edits) {
  private static final char SEPARATOR = '-';

  /** Checks the components and copies the edits. */
  public Change {
    requireNonNull(changeId, "changeId");
    requireNonNull(operator, "operator");
    edits = List.copyOf(edits);
  }

  /**
   * Returns the identifier of a change.
   *
   * @param version version that the change creates
   * @param nonce random number that distinguishes the changes proposed for that version
   * @return identifier
   */
  static String identifier(long version, long nonce) {
    return version + String.valueOf(SEPARATOR) + Long.toHexString(nonce);
  }

  /**
   * Returns the version that a change creates if it is accepted.
   *
   * @param changeId identifier of the change
   * @return version; 0 if the identifier is malformed
   */
  static long versionOf(String changeId) {
    int end = changeId.indexOf(SEPARATOR);
    String digits = end < 0 ? "" : changeId.substring(0, end);
    return digits.matches("[0-9]{1,18}") ? Long.parseLong(digits) : 0;
  }
}
