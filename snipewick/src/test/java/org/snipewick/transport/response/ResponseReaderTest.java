package org.snipewick.transport.response;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseReaderTest {
  private static final String BODY = "id: 1\n\nid: 2\n\n";
  private static final int[] PIECE_BYTES = {1, 2, 3, 7, 31};

  static Stream<ResponseCase> all() {
    return Stream.concat(sound(), ResponseCases.malformed().stream());
  }

  static Stream<ResponseCase> sound() {
    return Stream.concat(
        ResponseCases.sound().stream(), ResponseCases.endingWithConnection().stream());
  }

  @ParameterizedTest
  @MethodSource("sound")
  void shouldAcceptResponseWhenItIsSound(ResponseCase sound) {
    assertThat(violation(sound.response("", BODY), Integer.MAX_VALUE)).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("org.snipewick.transport.response.ResponseCases#malformed")
  void shouldRejectResponseWhenItIsMalformed(ResponseCase malformed) {
    assertThat(violation(malformed.response("", BODY), Integer.MAX_VALUE)).isPresent();
  }

  @ParameterizedTest
  @MethodSource("org.snipewick.transport.response.ResponseCases#truncated")
  void shouldExpectMoreBytesWhenResponseIsTruncated(ResponseCase truncated) {
    assertThat(violation(truncated.response("", BODY), Integer.MAX_VALUE)).isEmpty();
  }

  /** Guards against rules that hold only if a response arrives at once. */
  @ParameterizedTest
  @MethodSource("all")
  void shouldFindSameViolationWhenResponseArrivesInPieces(ResponseCase each) {
    String response = each.response("", BODY);
    Optional<ResponseRule> expected = violation(response, Integer.MAX_VALUE);

    for (int bytes : PIECE_BYTES) {
      assertThat(violation(response, bytes)).as("pieces of %d bytes", bytes).isEqualTo(expected);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1 2000 OK\r\n', STATUS_LINE",
    "'HTTP/1.1 100 Continue\r\n', FINAL_STATUS",
    "'HTTP/1.1 200 OK\r\nA: b\rc', LINE_END",
    "'HTTP/1.1 200 OK\r\nA: b\n', LINE_END",
    "'HTTP/1.1 200 OK\r\nA: b\r\n c', FOLD",
    "'HTTP/1.1 200 OK\r\nA : b', FIELD_NAME",
    "'HTTP/1.1 200 OK\r\nA: \b', FIELD_VALUE",
    "'HTTP/1.1 200 OK\r\nContent-Length: 1x', CONTENT_LENGTH",
    "'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n', EQUAL_CONTENT_LENGTHS",
    "'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip', TRANSFER_ENCODING",
    "'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n', SINGLE_FRAMING",
    "'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', TRANSFER_ENCODING_VERSION",
    "'HTTP/1.1 204 Empty\r\nContent-Length: 1\r\n\r\n', NO_CONTENT",
    "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx', CHUNK",
    "'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab', END_OF_RESPONSE",
  })
  void shouldNameRuleWhenItIsBroken(String response, ResponseRule rule) {
    assertThat(violation(response, 1)).contains(rule);
  }

  @ParameterizedTest
  @CsvSource({
    "204, ''",
    "204, 'Content-Length: 0\r\n'",
    "304, ''",
    "304, 'Content-Length: 400\r\n'",
    "304, 'Transfer-Encoding: chunked\r\n'",
  })
  void shouldExpectNoBodyWhenStatusHasNone(int status, String fields) {
    String head = "HTTP/1.1 " + status + " Reason\r\n" + fields + "\r\n";

    assertThat(violation(head, 1)).isEmpty();
    assertThat(violation(head + "x", 1)).contains(ResponseRule.END_OF_RESPONSE);
  }

  @Test
  void shouldAcceptAnotherResponseOnlyAfterAnotherRequestWhenConnectionIsReused() throws Exception {
    byte[] response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi".getBytes(ISO_8859_1);
    ResponseReader reader = ResponseReader.ofManyResponses();
    reader.requestSent();
    reader.read(response, 0, response.length);
    reader.requestSent();
    reader.read(response, 0, response.length);

    assertThat(violation(reader, response)).contains(ResponseRule.END_OF_RESPONSE);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void shouldReturnEndOfResponseWhenLineEndsFollow(boolean isConnectionReused) throws Exception {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    byte[] bytes = (response + "\r\n\r\n").getBytes(ISO_8859_1);
    ResponseReader reader =
        isConnectionReused ? ResponseReader.ofManyResponses() : ResponseReader.ofOneResponse();

    assertThat(reader.read(bytes, 0, bytes.length)).isEqualTo(response.length());
    assertThat(reader.read(bytes, bytes.length - 2, bytes.length)).isEqualTo(bytes.length - 2);
  }

  @Test
  void shouldIgnoreAnotherResponseWhenConnectionIsNotReused() {
    String refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

    assertThat(violation(refusal + refusal, 1)).isEmpty();
    assertThat(violation(refusal + "HTTP/2", 1)).contains(ResponseRule.END_OF_RESPONSE);
  }

  private static Optional<ResponseRule> violation(String response, int pieceBytes) {
    ResponseReader reader = ResponseReader.ofOneResponse();
    byte[] bytes = response.getBytes(ISO_8859_1);
    Optional<ResponseRule> violation = Optional.empty();
    for (int from = 0; from < bytes.length && violation.isEmpty(); ) {
      int length = Math.min(pieceBytes, bytes.length - from);
      byte[] piece = new byte[length];
      System.arraycopy(bytes, from, piece, 0, length);
      violation = violation(reader, piece);
      from += length;
    }
    return violation;
  }

  private static Optional<ResponseRule> violation(ResponseReader reader, byte[] bytes) {
    try {
      reader.read(bytes, 0, bytes.length);
      return Optional.empty();
    } catch (MalformedResponseException malformed) {
      return Optional.of(malformed.rule());
    }
  }
}
