package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.RequestId;

/** What a pool's scheduler decides about a request. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = Decision.Grant.class, name = "grant"),
  @JsonSubTypes.Type(value = Decision.Refuse.class, name = "refuse"),
  @JsonSubTypes.Type(value = Decision.Cancel.class, name = "cancel")
})
public sealed interface Decision {

  /**
   * Returns the request that is decided about.
   *
   * @return request
   */
  RequestId request();

  /**
   * The request may be dispatched to an endpoint, once, within {@link #validMillis}.
   *
   * @param request the request
   * @param endpoint where to dispatch it
   * @param validMillis how long the grant may be used after it arrived, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Grant(RequestId request, EndpointId endpoint, long validMillis) implements Decision {

    /** Checks the parts. */
    public Grant {
      requireNonNull(request, "request");
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * The request is given up on and was not dispatched.
   *
   * @param request the request
   * @param reason {@link FailureType#SHED}, {@link FailureType#DEADLINE_UNREACHABLE} or {@link
   *     FailureType#NO_ENDPOINT}
   * @param retryAfterMillis when coming back makes sense, in milliseconds from now
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Refuse(RequestId request, FailureType reason, long retryAfterMillis) implements Decision {

    /** Checks the parts. */
    public Refuse {
      requireNonNull(request, "request");
      requireNonNull(reason, "reason");
    }
  }

  /**
   * The request was dispatched and is to be cancelled at its endpoint.
   *
   * @param request the request
   * @param reason why it cannot be answered as agreed
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Cancel(RequestId request, FailureType reason) implements Decision {

    /** Checks the parts. */
    public Cancel {
      requireNonNull(request, "request");
      requireNonNull(reason, "reason");
    }
  }
}
