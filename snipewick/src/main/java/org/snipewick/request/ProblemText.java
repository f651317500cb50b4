package org.snipewick.request;

import java.util.Map;
import org.snipewick.failure.Failure;
import org.snipewick.failure.Outcome;
import org.snipewick.failure.ProblemDocument;

/**
 * Renders failures for callers. Beside the outcome of the request over all calls with its key, the
 * member {@code attempt} gives the outcome of this call alone.
 */
public final class ProblemText {
  private ProblemText() {}

  /**
   * Renders a failure as a problem document.
   *
   * @param failure failure
   * @param dispatched whether this call was dispatched
   * @return problem document (RFC 9457) as JSON
   */
  public static String document(Failure failure, boolean dispatched) {
    Outcome attempt = dispatched ? failure.outcome() : Outcome.NOT_RUN;
    return ProblemDocument.of(failure, Map.of("attempt", attempt.text())).toJson();
  }

  /**
   * Renders a failure as the last event of a stream.
   *
   * @param failure failure
   * @param dispatched whether this call was dispatched
   * @return server-sent event of the type {@code error}
   */
  public static String event(Failure failure, boolean dispatched) {
    return "event: error\ndata: " + document(failure, dispatched) + "\n\n";
  }
}
