package org.snipewick.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.io.UncheckedIOException;

/**
 * Standard output and error of a command.
 *
 * @param out stream for results
 * @param err stream for messages to people
 */
record Console(PrintStream out, PrintStream err) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  Console {
    requireNonNull(out, "out");
    requireNonNull(err, "err");
  }

  static Console system() {
    return new Console(System.out, System.err);
  }

  void printJson(Object value) {
    try {
      out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value));
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
