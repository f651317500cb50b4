package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;

/** Chain of the filters that have not handled a call yet. */
@FunctionalInterface
public interface Chain {

  /**
   * Passes a call to the next filter.
   *
   * @param context the call
   * @return future with the answer; fails with a {@link FailureException}
   */
  CompletableFuture<Answer> proceed(CallContext context);

  /**
   * Returns a chain of filters. A call that the last filter passes on fails with {@link
   * FailureType#INTERNAL}.
   *
   * @param filters filters in the order in which they handle a call
   * @return chain
   */
  static Chain ofAll(List<Filter> filters) {
    requireNonNull(filters, "filters");
    Chain chain =
        context ->
            CompletableFuture.failedFuture(
                Failure.notRun(FailureType.INTERNAL, "no filter handled the call").toException());
    for (int index = filters.size() - 1; index >= 0; index--) {
      chain = link(filters.get(index), chain);
    }
    return chain;
  }

  private static Chain link(Filter filter, Chain next) {
    return context -> {
      try {
        return filter.apply(context, next);
      } catch (RuntimeException thrown) {
        return CompletableFuture.failedFuture(thrown);
      }
    };
  }
}
