package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/** Result of a conditional write to the platform's table. */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param version version of the row after the write
   * @param era era of the store in which it was applied. If the version that the write was
   *     conditional on was read in another era, it may have replaced another row than the one read
   */
  record Applied(long version, long era) implements WriteResult {

    /**
     * Creates the result of a write to a store that names no era.
     *
     * @param version version of the row after the write
     */
    public Applied(long version) {
      this(version, EraTracker.NO_ERA);
    }
  }

  /**
   * The condition did not hold, and nothing was written.
   *
   * @param current the current row; empty if it does not exist
   * @param era era of the store in which the row has its version
   */
  record Conflict(Optional<Row> current, long era) implements WriteResult {

    /** Checks that the row is not null. */
    public Conflict {
      requireNonNull(current, "current");
    }

    /**
     * Creates the result of a write to a store that names no era.
     *
     * @param current the current row; empty if it does not exist
     */
    public Conflict(Optional<Row> current) {
      this(current, EraTracker.NO_ERA);
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
