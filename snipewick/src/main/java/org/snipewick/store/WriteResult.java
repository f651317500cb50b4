package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/** Result of a conditional write to the platform's table. */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param version version of the row after the write
   */
  record Applied(long version) implements WriteResult {}

  /**
   * The condition did not hold, and nothing was written.
   *
   * @param current the current row; empty if it does not exist
   */
  record Conflict(Optional<Row> current) implements WriteResult {

    /** Checks that the row is not null. */
    public Conflict {
      requireNonNull(current, "current");
    }
  }

  /**
   * The write was not sent, or the platform responded that it did not take effect.
   *
   * @param detail description of the failure
   */
  record Rejected(String detail) implements WriteResult {

    /** Checks that the detail is not null. */
    public Rejected {
      requireNonNull(detail, "detail");
    }
  }

  /**
   * The response was lost: the write may have taken effect, may take effect later, or never.
   *
   * @param detail description of the failure
   */
  record Ambiguous(String detail) implements WriteResult {

    /** Checks that the detail is not null. */
    public Ambiguous {
      requireNonNull(detail, "detail");
    }
  }
}
