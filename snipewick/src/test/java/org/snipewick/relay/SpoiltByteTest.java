package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/**
 * Replaces each byte of a sound head by others, in turn. Guards against responses with a part of
 * the body, or with bytes that are not of the body.
 */
class SpoiltByteTest {
  private static final long SEED = 45;
  private static final int RANDOM_VALUES = 3;
  private static final String VALUES = "\0\1\b\t\n\13\f\r\33 (:;,x0/\177\200\351";
  private static final String REQUEST =
      "GET /unsafe/ HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\n\r\n";
  private static final String BODY = "fourteen bytes";
  private static final String START = "HTTP/1.1 200 OK\r\nSignature: s\r\n";
  private static final String WITH_LENGTH =
      START + "Content-Type: text/plain\r\nContent-Length: 14\r\n\r\n";
  private static final String CHUNKED =
      START + "Transfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n";
  private static final String CODING_NAME = "Transfer-Encoding";
  private static final String CHUNKS = "8\r\nfourteen\r\n6\r\n bytes\r\n0\r\n\r\n";

  private final SplittableRandom random = new SplittableRandom(SEED);
  private final AtomicReference<String> response = new AtomicReference<>();
  private final ScriptedEndpoint endpoint =
      ScriptedEndpoint.start(
          (request, connection) -> {
            ScriptedEndpoint.write(connection, response.get());
            connection.close();
          });
  private final RelayFixture relay =
      new RelayFixture(Plans.plan(1, Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 1, false)));

  @AfterEach
  void close() throws IOException {
    relay.close();
    endpoint.close();
  }

  @Test
  void shouldDeliverWholeResponseOrNoneWhenByteOfHeadWithLengthIsSpoilt() throws IOException {
    for (int index = 0; index < WITH_LENGTH.length(); index++) {
      for (char value : values().toCharArray()) {
        assertWholeOrNone(WITH_LENGTH, index, value, BODY);
      }
    }
  }

  /**
   * Leaves out what turns the name of the coding into that of another field, as such a head is
   * sound: the body ends with the connection.
   */
  @Test
  void shouldDeliverWholeResponseOrNoneWhenByteOfHeadOfChunksIsSpoilt() throws IOException {
    int nameIndex = CHUNKED.indexOf(CODING_NAME);
    for (int index = 0; index < CHUNKED.length(); index++) {
      boolean isInName = index >= nameIndex && index < nameIndex + CODING_NAME.length();
      for (char value : values().toCharArray()) {
        if (!isInName || !isFieldName(value)) {
          assertWholeOrNone(CHUNKED, index, value, CHUNKS);
        }
      }
    }
  }

  private String values() {
    StringBuilder values = new StringBuilder(VALUES);
    for (int count = 0; count < RANDOM_VALUES; count++) {
      values.append((char) random.nextInt(256));
    }
    return values.toString();
  }

  /** Returns whether a byte leaves a name a name, or ends it as one. */
  private static boolean isFieldName(char value) {
    return value == ':' || Character.toString(value).matches("[!#$%&'*+.^_`|~0-9A-Za-z-]");
  }

  private void assertWholeOrNone(String head, int index, char value, String body)
      throws IOException {
    response.set(head.substring(0, index) + value + head.substring(index + 1) + body);

    // The failures of one endpoint would exclude it after a while.
    relay.setStartedEndpoint("unsafe", endpoint);
    String received = relay.exchange(REQUEST);

    String description =
        "byte %d of the head, value %d, seed %d".formatted(index, (int) value, SEED);
    if (received.startsWith("HTTP/1.1 502")) {
      assertThat(received).as(description).contains("unknown");
    } else {
      assertThat(received).as(description).endsWith("\r\n\r\n" + BODY);
      assertThat(received.substring(0, received.indexOf("\r\n\r\n")).split("\r\n", -1))
          .as(description)
          .allMatch(line -> line.matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+: (\\t|\\P{Cntrl})*|HTTP.*"));
    }
  }
}
