package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.RequestId;

/** Event of a waiting or granted request that its entry instance reports to the scheduler. */
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
   * Returns the request that this event is about.
   *
   * @return id of the request
   */
  RequestId request();

  /**
   * Event: the first output token arrived.
   *
   * @param request the request
   * @param sinceDispatchMillis time since the dispatch, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record FirstToken(RequestId request, long sinceDispatchMillis) implements WorkEvent {

    /** Requires the request to be non-null. */
    public FirstToken {
      requireNonNull(request, "request");
    }
  }

  /**
   * Event: more output tokens arrived. Created from heartbeats, which list each running request
   * every 500 ms.
   *
   * @param request the request
   * @param outputTokens output tokens so far
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Progress(RequestId request, int outputTokens) implements WorkEvent {

    /** Requires the request to be non-null. */
    public Progress {
      requireNonNull(request, "request");
    }
  }

  /**
   * Event: the request ended at its endpoint.
   *
   * @param request the request
   * @param result how it ended
   * @param outputTokens total number of output tokens
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Finished(RequestId request, Result result, int outputTokens) implements WorkEvent {

    /** Requires all object components to be non-null. */
    public Finished {
      requireNonNull(request, "request");
      requireNonNull(result, "result");
    }
  }

  /**
   * Event: the request no longer needs a grant, since its caller disconnected, its deadline passed
   * or its grant was not used.
   *
   * @param request the request
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Withdrawn(RequestId request) implements WorkEvent {

    /** Requires the request to be non-null. */
    public Withdrawn {
      requireNonNull(request, "request");
    }
  }

  /**
   * Event: the request was granted by an earlier scheduler of this pool and may still be in flight
   * at its endpoint.
   *
   * @param work the request
   * @param endpoint endpoint that it was granted
   * @param outputTokens number of output tokens so far; 0 if the first has not arrived
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Adopted(WorkRequest work, EndpointId endpoint, int outputTokens) implements WorkEvent {

    /** Requires all object components to be non-null. */
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
    /** The request never reached the endpoint, or the endpoint rejected it before running it. */
    NOT_DISPATCHED,
    /** The endpoint ended the answer before it was complete. */
    BROKEN,
    /** It was cancelled: the caller disconnected, or its deadline passed. */
    CANCELLED
  }
}
