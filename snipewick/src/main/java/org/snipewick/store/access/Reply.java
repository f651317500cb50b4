package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

/**
 * What came of one call to the store.
 *
 * @param <T> type of the answer
 */
public sealed interface Reply<T> {

  /**
   * Returns whether the store is at work, whatever it answered.
   *
   * @return whether it answered other than with a fault of its own
   */
  boolean showsStoreAlive();

  /**
   * The store carried the call out.
   *
   * @param <T> type of the answer
   * @param value answer
   */
  record Answered<T>(T value) implements Reply<T> {

    /** Checks the answer. */
    public Answered {
      requireNonNull(value, "value");
    }

    @Override
    public boolean showsStoreAlive() {
      return true;
    }
  }

  /**
   * The call was not carried out, or it is not known whether it was.
   *
   * @param <T> type of the answer that is missing
   * @param detail what happened
   * @param hadNoEffect whether it is sure that the call neither had an effect nor will have one
   * @param isWorthRepeating whether another attempt may go better
   * @param showsStoreAlive whether the store is at work
   */
  record Failed<T>(
      String detail, boolean hadNoEffect, boolean isWorthRepeating, boolean showsStoreAlive)
      implements Reply<T> {

    /** Checks the detail. */
    public Failed {
      requireNonNull(detail, "detail");
    }
  }

  /**
   * Returns the failure of a call that was not sent.
   *
   * @param <T> type of the answer that is missing
   * @param detail why
   * @return failure without effect
   */
  static <T> Failed<T> notSent(String detail) {
    return new Failed<>(detail, true, true, false);
  }

  /**
   * Returns the failure of a call that may have been received and whose answer is lost.
   *
   * @param <T> type of the answer that is missing
   * @param detail what happened
   * @return failure whose effect is unknown
   */
  static <T> Failed<T> lost(String detail) {
    return new Failed<>(detail, false, true, false);
  }

  /**
   * Returns the failure of a call whose answer cannot be read.
   *
   * @param <T> type of the answer that is missing
   * @param detail what is wrong with it
   * @return failure whose effect is unknown
   */
  static <T> Failed<T> malformed(String detail) {
    return new Failed<>(detail, false, false, true);
  }
}
