package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;

/** Rest of a chain of filters. */
@FunctionalInterface
public interface Chain {

  /**
   * Handles a call.
   *
   * @param context what is known of the call
   * @return answer; fails with a {@link FailureException}
   */
  CompletableFuture<Answer> proceed(CallContext context);

  /**
   * Returns a chain of filters.
   *
   * @param filters filters in the order of their application; the last one must not proceed
   * @return chain
   */
  static Chain ofAll(List<Filter> filters) {
    requireNonNull(filters, "filters");
    Chain chain =
        context ->
            CompletableFuture.failedFuture(
                Failure.notRun(FailureType.INTERNAL, "no filter answered").toException());
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
