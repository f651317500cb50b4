package org.snipewick.standins.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.OptionalLong;

/** Whether an endpoint is live or leaving, and how long after that it still got work. */
public final class EndpointState {
  private OptionalLong leavingSinceMillis = OptionalLong.empty();
  private long latestAfterLeavingMillis = -1;

  private record Change(String state) {}

  /**
   * Returns the state as it is reported.
   *
   * @return {@code live} or {@code leaving}
   */
  public String name() {
    return leavingSinceMillis.isPresent() ? "leaving" : "live";
  }

  /**
   * Notes that work arrived.
   *
   * @param nowMillis current time in milliseconds
   */
  public void countDispatch(long nowMillis) {
    leavingSinceMillis.ifPresent(since -> latestAfterLeavingMillis = nowMillis - since);
  }

  /**
   * Returns when the latest work arrived after the endpoint began to leave.
   *
   * @return milliseconds after the change of state, -1 if none arrived
   */
  public long latestAfterLeavingMillis() {
    return latestAfterLeavingMillis;
  }

  /**
   * Serves {@code PUT /control/state}.
   *
   * @param call control call
   * @param nowMillis current time in milliseconds
   * @return response
   * @throws JsonProcessingException if the body is malformed
   */
  public Promise<HttpResponse> control(Call call, long nowMillis) throws JsonProcessingException {
    if (!call.path().equals("/control/state")) {
      return Responses.unknownPath();
    }
    switch (call.json(Change.class).state()) {
      case "live" -> leavingSinceMillis = OptionalLong.empty();
      case "leaving" -> leavingSinceMillis = OptionalLong.of(nowMillis);
      default -> throw new IllegalArgumentException("State must be live or leaving");
    }
    return Promise.of(HttpResponse.ofCode(204));
  }
}
