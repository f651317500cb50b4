package org.snipewick.standins.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.OptionalLong;

/**
 * State of an endpoint, live or leaving, and the time of the latest dispatch to it while leaving.
 */
public final class EndpointState {
  private OptionalLong leavingSinceEpochMillis = OptionalLong.empty();
  private long latestAfterLeavingMillis = -1;

  private record StateChange(String state) {}

  /**
   * Returns the name of the state in load reports.
   *
   * @return {@code live} or {@code leaving}
   */
  public String name() {
    return leavingSinceEpochMillis.isPresent() ? "leaving" : "live";
  }

  /**
   * Records that a request was dispatched to the endpoint.
   *
   * @param nowEpochMillis current time in milliseconds since the epoch
   */
  public void recordDispatch(long nowEpochMillis) {
    leavingSinceEpochMillis.ifPresent(since -> latestAfterLeavingMillis = nowEpochMillis - since);
  }

  /**
   * Returns the time from the change to leaving to the latest dispatch since then.
   *
   * @return time in milliseconds, -1 if no request was dispatched while leaving
   */
  public long latestAfterLeavingMillis() {
    return latestAfterLeavingMillis;
  }

  /**
   * Serves {@code PUT /control/state}.
   *
   * @param call control call
   * @param nowEpochMillis current time in milliseconds since the epoch
   * @return response
   * @throws JsonProcessingException if the body is malformed
   * @throws IllegalArgumentException if the state is neither {@code live} nor {@code leaving}
   */
  public Promise<HttpResponse> control(Call call, long nowEpochMillis)
      throws JsonProcessingException {
    if (!call.path().equals("/control/state")) {
      return Responses.unknownPath();
    }
    switch (call.json(StateChange.class).state()) {
      case "live" -> leavingSinceEpochMillis = OptionalLong.empty();
      case "leaving" -> leavingSinceEpochMillis = OptionalLong.of(nowEpochMillis);
      default -> throw new IllegalArgumentException("State must be live or leaving");
    }
    return Promise.of(HttpResponse.ofCode(204));
  }
}
