package org.snipewick.relay;

/** Runs steps of which each is due, whatever becomes of the others. */
final class Steps {
  private Steps() {}

  /**
   * Runs all steps, each also if an earlier one throws.
   *
   * @param steps steps, in their order
   * @throws RuntimeException or an {@link Error}: what the first failed step threw, with what
   *     others threw as suppressed exceptions
   */
  static void runAll(Runnable... steps) {
    Throwable first = null;
    for (Runnable step : steps) {
      try {
        step.run();
      } catch (RuntimeException | Error thrown) {
        if (first == null) {
          first = thrown;
        } else if (first != thrown) {
          first.addSuppressed(thrown);
        }
      }
    }
    if (first instanceof Error error) {
      throw error;
    }
    if (first != null) {
      throw (RuntimeException) first;
    }
  }
}
