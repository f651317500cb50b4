package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.RequestId;

/** Decision of a pool's scheduler about one request. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = Decision.Grant.class, name = "grant"),
  @JsonSubTypes.Type(value = Decision.Refuse.class, name = "refuse"),
  @JsonSubTypes.Type(value = Decision.Cancel.class, name = "cancel")
})
public sealed interface Decision {

  /**
   * Returns the request that this decision is about.
   *
   * @return id of the request
   */
  RequestId request();

  /**
   * Permission to dispatch the request to an endpoint, once, within {@link #validMillis}.
   *
   * @param request the request
   * @param endpoint endpoint to dispatch it to
   * @param validMillis validity period from the arrival of the grant, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Grant(RequestId request, EndpointId endpoint, long validMillis) implements Decision {

    /** Requires all components to be non-null. */
    public Grant {
      requireNonNull(request, "request");
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * Refusal of a request that was not dispatched.
   *
   * @param request the request
   * @param reason {@link FailureType#SHED}, {@link FailureType#DEADLINE_UNREACHABLE} or {@link
   *     FailureType#NO_ENDPOINT}
   * @param retryAfterMillis time after which the caller may retry, in milliseconds from now
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Refuse(RequestId request, FailureType reason, long retryAfterMillis) implements Decision {

    /** Requires the request and the reason to be non-null. */
    public Refuse {
      requireNonNull(request, "request");
      requireNonNull(reason, "reason");
    }
  }

  /**
   * Instruction to cancel a dispatched request at its endpoint.
   *
   * @param request the request
   * @param reason why it cannot be answered within its deadline and limits
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Cancel(RequestId request, FailureType reason) implements Decision {

    /** Requires all components to be non-null. */
    public Cancel {
      requireNonNull(request, "request");
      requireNonNull(reason, "reason");
    }
  }
}
