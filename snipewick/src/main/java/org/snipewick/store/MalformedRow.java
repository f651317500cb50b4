package org.snipewick.store;

import java.util.Map;

/** Describes rows whose content cannot be decoded. */
public final class MalformedRow {
  /** Bounds a log line, as the message of a decoder may quote the content of the row. */
  private static final int MAX_DETAIL_CHARACTERS = 200;

  private MalformedRow() {}

  /**
   * Returns the details to log of a row that is skipped.
   *
   * @param row row
   * @param thrown why its content cannot be decoded
   * @return version of the row and the reason, which is truncated if it is long
   */
  public static Map<String, Object> details(TableRow row, Exception thrown) {
    String reason = String.valueOf(thrown.getMessage());
    return Map.of(
        "rowVersion",
        row.version(),
        "detail",
        reason.substring(0, Math.min(reason.length(), MAX_DETAIL_CHARACTERS)));
  }
}
