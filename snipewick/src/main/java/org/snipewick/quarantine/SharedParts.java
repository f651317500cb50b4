package org.snipewick.quarantine;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Identifiers of the parts of a prompt that other requests may contain too: all parts but the last
 * one, which belongs to the request or its session. Immutable.
 *
 * @param ids distinct identifiers in the order of the prompt, at most {@link #MAX_PARTS}
 */
public record SharedParts(List<String> ids) {
  /** Bounds what a single request adds to logs and to evidence. */
  static final int MAX_PARTS = 16;

  /** Longer identifiers are truncated; those of the platform are hexadecimal numbers. */
  static final int MAX_ID_LENGTH = 32;

  private static final SharedParts EMPTY = new SharedParts(List.of());

  /** Copies the identifiers. */
  public SharedParts {
    ids = List.copyOf(ids);
  }

  /**
   * Returns the parts of a prompt that shares none.
   *
   * @return no parts
   */
  public static SharedParts empty() {
    return EMPTY;
  }

  /**
   * Parses the list of the parts of a prompt.
   *
   * @param parts comma-separated entries, each with an identifier that ends at a colon
   * @return all parts but the last one; entries without an identifier are left out
   */
  public static SharedParts parse(String parts) {
    String[] entries = parts.split(",", -1);
    LinkedHashSet<String> ids = new LinkedHashSet<>();
    Arrays.stream(entries)
        .limit(entries.length - 1L)
        .map(SharedParts::idOf)
        .filter(id -> !id.isEmpty())
        .limit(MAX_PARTS)
        .forEach(ids::add);
    return ids.isEmpty() ? EMPTY : new SharedParts(List.copyOf(ids));
  }

  private static String idOf(String entry) {
    String id = entry.split(":", 2)[0].trim();
    return id.length() > MAX_ID_LENGTH ? id.substring(0, MAX_ID_LENGTH) : id;
  }

  /**
   * Returns whether the prompt shares no part.
   *
   * @return whether there are no identifiers
   */
  public boolean isEmpty() {
    return ids.isEmpty();
  }
}
