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
 * @param holder instance that holds the lease; empty text if it was given up
 * @param incarnation start of the holder's process, in milliseconds since the Unix epoch
 * @param fencing number that grows with each holder
 * @param durationMillis how long the lease lasts after this row was written
 */
record LeaseRow(String holder, long incarnation, long fencing, long durationMillis) {
  private static final String NOBODY = "";
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new ParameterNamesModule()).build();

  LeaseRow {
    requireNonNull(holder, "holder");
  }

  LeaseRow givenUp() {
    return new LeaseRow(NOBODY, 0, fencing, 0);
  }

  boolean isHeld() {
    return !holder.equals(NOBODY);
  }

  String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Parses a row; empty if it is not one. */
  static Optional<LeaseRow> parse(String json) {
    try {
      return Optional.of(MAPPER.readValue(json, LeaseRow.class));
    } catch (JsonProcessingException failure) {
      return Optional.empty();
    }
  }
}
