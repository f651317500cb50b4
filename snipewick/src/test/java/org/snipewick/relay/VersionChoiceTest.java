package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipewick.relay.ScriptedEndpoint.closing;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.identity.PoolName;
import org.snipewick.placement.EndpointFilter;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.rollout.RequestVersion;
import org.snipewick.rollout.TrafficSplit;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/** Relays requests of which a split allows only some endpoints, over sockets. */
class VersionChoiceTest {
  private static final String GOOD =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 4\r\n\r\ngood";
  private static final String FAILED =
      "HTTP/1.1 500 Broken\r\nSignature: s\r\nContent-Length: 0\r\n\r\n";

  private final List<String> records = new CopyOnWriteArrayList<>();
  private final AtomicInteger holds = new AtomicInteger();
  private final RelayFixture relay =
      new RelayFixture(
          Plans.plan(1, Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 2, false)),
          EventLog.none(),
          new RecordingSplit());

  @AfterEach
  void close() {
    relay.close();
  }

  private final class RecordingSplit implements TrafficSplit {
    @Override
    public void countRequest(PoolName pool) {
      records.add("count");
    }

    @Override
    public RequestVersion choose(PoolName pool, String route, boolean isRetry) {
      return new RecordingVersion(holds.getAndDecrement() > 0);
    }
  }

  private final class RecordingVersion implements RequestVersion {
    private final boolean isHeld;

    private RecordingVersion(boolean isHeld) {
      this.isHeld = isHeld;
    }

    @Override
    public EndpointFilter filter() {
      return endpoint -> endpoint.id().value().equals("e1");
    }

    @Override
    public boolean isHeld() {
      return isHeld;
    }

    @Override
    public void started(RegisteredEndpoint endpoint, long nowNanos) {
      records.add("start " + endpoint.id());
    }

    @Override
    public void responded(long nowNanos) {
      records.add("response");
    }

    @Override
    public void spaced(double nanosPerEvent) {}

    @Override
    public void failed() {
      records.add("failure");
    }

    @Override
    public void end(long nowNanos) {
      if (!isHeld && !records.get(records.size() - 1).equals("end")) {
        records.add("end");
      }
    }
  }

  private String post() throws IOException {
    return relay.exchange(
        "POST /unsafe/ HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\n"
            + "Left-Ms: 2000\r\nContent-Length: 0\r\n\r\n");
  }

  /** Guards against requests at endpoints of a version that must not receive them. */
  @Test
  void shouldUseOnlyAllowedEndpointAndReportAnswer() throws IOException {
    ScriptedEndpoint other = ScriptedEndpoint.start(closing(GOOD));
    relay.setEndpoints("unsafe", other, ScriptedEndpoint.start(closing(GOOD)));
    for (int request = 0; request < 5; request++) {
      assertThat(post()).endsWith("good");
    }
    assertThat(other.requests()).isEmpty();
    assertThat(records.subList(0, 4)).containsExactly("count", "start e1", "response", "end");
  }

  @Test
  void shouldReportFailureWhenEndpointFails() throws IOException {
    relay.setEndpoints(
        "unsafe", ScriptedEndpoint.start(closing(GOOD)), ScriptedEndpoint.start(closing(FAILED)));
    assertThat(post()).startsWith("HTTP/1.1 500");
    assertThat(records).containsExactly("count", "start e1", "failure", "end");
  }

  /** Guards against requests that are lost or counted again while no version may receive them. */
  @Test
  void shouldSendRequestLaterWhenItIsHeld() throws IOException {
    holds.set(3);
    relay.setEndpoints(
        "unsafe", ScriptedEndpoint.start(closing(GOOD)), ScriptedEndpoint.start(closing(GOOD)));
    assertThat(post()).endsWith("good");
    assertThat(records).containsExactly("count", "start e1", "response", "end");
  }
}
