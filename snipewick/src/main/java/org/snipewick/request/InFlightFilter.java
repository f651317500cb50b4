package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/** Counts the calls in flight, and refuses calls in the last phase of a planned stop. */
final class InFlightFilter implements Filter {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final InFlight inFlight;

  private InFlightFilter(InFlight inFlight) {
    this.inFlight = inFlight;
  }

  static InFlightFilter of(InFlight inFlight) {
    return new InFlightFilter(requireNonNull(inFlight, "inFlight"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    if (!inFlight.tryEnter()) {
      return CompletableFuture.failedFuture(
          Failure.notRun(FailureType.STOPPING, "instance is stopping")
              .withRetryAfter(RETRY_AFTER)
              .toException());
    }
    CompletableFuture<Answer> answer = next.proceed(context);
    Futures.whenDone(answer, (value, failure) -> Endings.whenReaderDone(value, inFlight::exit));
    return answer;
  }
}
