package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.io.UncheckedIOException;
import java.util.Optional;

/**
 * Row of a lease in the platform's table.
 *
 * @param holder instance that holds the lease; empty if it was released
 * @param incarnation start of the holder's process, in milliseconds since the Unix epoch
 * @param fencing fencing number, which grows with each holder
 * @param durationMillis duration of the lease, in milliseconds from the write of this row
 */
record LeaseRow(String holder, long incarnation, long fencing, long durationMillis) {
  private static final String NO_HOLDER = "";
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new ParameterNamesModule()).build();

  LeaseRow {
    requireNonNull(holder, "holder");
  }

  /** Returns this row without a holder, with the same fencing number. */
  LeaseRow released() {
    return new LeaseRow(NO_HOLDER, 0, fencing, 0);
  }

  boolean isHeld() {
    return !holder.equals(NO_HOLDER);
  }

  String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Parses the JSON form of a row; returns empty if it is malformed. */
  static Optional<LeaseRow> parse(String json) {
    try {
      return Optional.of(MAPPER.readValue(json, LeaseRow.class));
    } catch (JsonProcessingException failure) {
      return Optional.empty();
    }
  }
}
