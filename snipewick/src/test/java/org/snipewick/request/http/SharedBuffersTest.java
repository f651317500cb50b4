package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class SharedBuffersTest {
  private static final String ENDLESS_TRAILERS =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "1\r\nx\r\n0\r\n"
          + ("X-Filler: " + "x".repeat(988) + "\r\n").repeat(2_000);

  private static final int ROUNDS = 40;
  private static final int CROWD = 20;
  private static final int REQUESTS_PER_ROUND = 10;

  /** Guards against headers in a buffer that others use, as the body in it was released. */
  @Test
  void shouldReadOwnHeadersWhenOthersSendEndlessTrailers() throws IOException {
    Map<Integer, Integer> statuses = new TreeMap<>();
    try (CallerServerFixture fixture = CallerServerFixture.start()) {
      for (int round = 0; round < ROUNDS; round++) {
        List<RawCaller> crowd = sendCrowd(fixture);
        for (int number = 0; number < REQUESTS_PER_ROUND; number++) {
          int status = fixture.post("/v1/chat/completions", "{\"model\":1}").statusCode();
          statuses.merge(status, 1, Integer::sum);
        }
        for (RawCaller caller : crowd) {
          caller.close();
        }
      }
    }
    assertThat(statuses).containsExactly(Map.entry(400, ROUNDS * REQUESTS_PER_ROUND));
  }

  private static List<RawCaller> sendCrowd(CallerServerFixture fixture) throws IOException {
    List<RawCaller> crowd = new ArrayList<>();
    for (int number = 0; number < CROWD; number++) {
      RawCaller caller = RawCaller.connect(fixture);
      crowd.add(caller);
      try {
        caller.send(ENDLESS_TRAILERS);
      } catch (IOException closedByServer) {
        // The rest is not read.
        continue;
      }
    }
    return crowd;
  }
}
