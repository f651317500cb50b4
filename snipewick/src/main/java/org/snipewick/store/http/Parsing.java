package org.snipewick.store.http;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Turns malformed answers of the platform into typed failures. */
final class Parsing {
  private final CircuitBreaker circuit;

  Parsing(CircuitBreaker circuit) {
    this.circuit = requireNonNull(circuit, "circuit");
  }

  /** Reads an answer. */
  @FunctionalInterface
  interface Reader<T> {
    T read() throws IOException;
  }

  <T> CompletableFuture<T> parse(Reader<T> reader) {
    try {
      return CompletableFuture.completedFuture(reader.read());
    } catch (IOException | IllegalArgumentException malformed) {
      String detail = "malformed answer of the platform: " + malformed.getMessage();
      return CompletableFuture.failedFuture(circuit.unavailable(detail).toException());
    }
  }
}
