package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

/**
 * Result of one call to the store: the value of its response, or the failure.
 *
 * @param <T> type of the value of a successful response
 */
public sealed interface StoreResult<T> {

  /**
   * Returns whether the response shows that the store is available, even if the call failed.
   *
   * @return true if the store responded other than with a fault of its own
   */
  boolean showsStoreAvailable();

  /**
   * The store executed the call.
   *
   * @param <T> type of the value
   * @param value value of the response
   */
  record Succeeded<T>(T value) implements StoreResult<T> {

    /** Checks that the value is not null. */
    public Succeeded {
      requireNonNull(value, "value");
    }

    @Override
    public boolean showsStoreAvailable() {
      return true;
    }
  }

  /**
   * The call was not executed, or its outcome is unknown.
   *
   * @param <T> type of the value that a successful response has
   * @param detail description of the failure
   * @param hadNoEffect whether it is certain that the call had no effect and will have none
   * @param isRetryable whether a retry may succeed
   * @param showsStoreAvailable whether the failure shows that the store is available
   */
  record Failed<T>(
      String detail, boolean hadNoEffect, boolean isRetryable, boolean showsStoreAvailable)
      implements StoreResult<T> {

    /** Checks that the detail is not null. */
    public Failed {
      requireNonNull(detail, "detail");
    }
  }

  /**
   * Returns the failure of a call that was not sent.
   *
   * @param <T> type of the value that a successful response has
   * @param detail why the call was not sent
   * @return failure of a call that had no effect
   */
  static <T> Failed<T> notSent(String detail) {
    return new Failed<>(detail, true, true, false);
  }

  /**
   * Returns the failure of a call that the store may have received and whose response is lost.
   *
   * @param <T> type of the value that a successful response has
   * @param detail description of the failure
   * @return failure with unknown outcome
   */
  static <T> Failed<T> lost(String detail) {
    return new Failed<>(detail, false, true, false);
  }

  /**
   * Returns the failure of a call whose response cannot be parsed.
   *
   * @param <T> type of the value that a successful response has
   * @param detail what is wrong with the response
   * @return failure with unknown outcome
   */
  static <T> Failed<T> malformed(String detail) {
    return new Failed<>(detail, false, false, true);
  }
}
