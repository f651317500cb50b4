package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import org.snipewick.time.Moment;

/**
 * Response about a table and the moment as of which it is current.
 *
 * @param value response
 * @param provenAt moment at or before which the store was asked; the response contains everything
 *     that had been written by then
 * @param <T> type of the response
 */
public record Proven<T>(T value, Moment provenAt) {

  /** Checks that no component is null. */
  public Proven {
    requireNonNull(value, "value");
    requireNonNull(provenAt, "provenAt");
  }
}
