package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/** What the platform's table answered to a conditional write. */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param version version of the row after the write
   */
  record Applied(long version) implements WriteResult {}

  /**
   * The condition did not hold and nothing was written.
   *
   * @param current the row as it stands; empty if it does not exist
   */
  record Conflict(Optional<Row> current) implements WriteResult {

    /** Checks the row. */
    public Conflict {
      requireNonNull(current, "current");
    }
  }

  /**
   * The write was not sent, or the platform said that it did not take effect.
   *
   * @param detail what happened
   */
  record Rejected(String detail) implements WriteResult {

    /** Checks the detail. */
    public Rejected {
      requireNonNull(detail, "detail");
    }
  }

  /**
   * The answer was lost: the write may or may not have taken effect, now or later.
   *
   * @param detail what happened
   */
  record Ambiguous(String detail) implements WriteResult {

    /** Checks the detail. */
    public Ambiguous {
      requireNonNull(detail, "detail");
    }
  }
}
