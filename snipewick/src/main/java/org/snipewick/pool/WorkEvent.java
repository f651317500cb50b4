package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.RequestId;

/** What the dispatching entry instance tells a pool's scheduler about a granted request. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = WorkEvent.FirstToken.class, name = "first-token"),
  @JsonSubTypes.Type(value = WorkEvent.Progress.class, name = "progress"),
  @JsonSubTypes.Type(value = WorkEvent.Finished.class, name = "finished"),
  @JsonSubTypes.Type(value = WorkEvent.Withdrawn.class, name = "withdrawn"),
  @JsonSubTypes.Type(value = WorkEvent.Adopted.class, name = "adopted")
})
public sealed interface WorkEvent {

  /**
   * Returns the request.
   *
   * @return request
   */
  RequestId request();

  /**
   * The first output token arrived.
   *
   * @param request the request
   * @param sinceDispatchMillis time from dispatch, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record FirstToken(RequestId request, long sinceDispatchMillis) implements WorkEvent {

    /** Checks the request. */
    public FirstToken {
      requireNonNull(request, "request");
    }
  }

  /**
   * More output arrived; sent at most a few times a second per request.
   *
   * @param request the request
   * @param outputTokens output tokens so far
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Progress(RequestId request, int outputTokens) implements WorkEvent {

    /** Checks the request. */
    public Progress {
      requireNonNull(request, "request");
    }
  }

  /**
   * The request left its endpoint.
   *
   * @param request the request
   * @param result how it ended
   * @param outputTokens output tokens in all
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Finished(RequestId request, Result result, int outputTokens) implements WorkEvent {

    /** Checks the parts. */
    public Finished {
      requireNonNull(request, "request");
      requireNonNull(result, "result");
    }
  }

  /**
   * The request no longer wants a grant: its caller left, or its grant could not be used.
   *
   * @param request the request
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Withdrawn(RequestId request) implements WorkEvent {

    /** Checks the request. */
    public Withdrawn {
      requireNonNull(request, "request");
    }
  }

  /**
   * The request was granted by an earlier scheduler of this pool and is still at its endpoint.
   *
   * @param work what it was
   * @param endpoint where it runs
   * @param outputTokens output tokens so far; 0 if the first has not arrived
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Adopted(WorkRequest work, EndpointId endpoint, int outputTokens) implements WorkEvent {

    /** Checks the parts. */
    public Adopted {
      requireNonNull(work, "work");
      requireNonNull(endpoint, "endpoint");
    }

    @Override
    public RequestId request() {
      return work.id();
    }
  }

  /** How a granted request ended. */
  enum Result {
    /** The answer is complete. */
    COMPLETE,
    /** The endpoint was never reached or refused before running. */
    NOT_DISPATCHED,
    /** The endpoint broke off. */
    BROKEN,
    /** It was cancelled: the caller left, or its time ran out. */
    CANCELLED
  }
}
