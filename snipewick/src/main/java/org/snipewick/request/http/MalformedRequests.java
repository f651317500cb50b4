package org.snipewick.request.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.ProblemDocument;
import org.snipewick.request.ProblemText;

/** Answers to requests that the HTTP server cannot parse, and therefore never hands on. */
final class MalformedRequests {
  private static final String UNKNOWN_METHOD = "Unknown HTTP method";
  private static final String LONG_HEADER = "Header line exceeds max header size";
  private static final String MANY_HEADERS = "Too many headers";
  private static final String LONG_URL = "URL length exceeds";
  private static final Pattern START_LINE =
      Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64} \\S+ HTTP/1\\.[01]\r?\n");

  private MalformedRequests() {}

  /**
   * Renders the answer, after which the connection must be closed.
   *
   * @param thrown what the server found wrong
   * @param received what it has received of the request
   * @return complete HTTP response
   */
  static ByteBuffer response(Exception thrown, byte[] received) {
    Failure failure = failureOf(String.valueOf(thrown.getMessage()), received);
    byte[] body = ProblemText.document(failure, false).getBytes(StandardCharsets.UTF_8);
    boolean notAllowed = failure.type() == FailureType.METHOD_NOT_ALLOWED;
    String head =
        "HTTP/1.1 "
            + failure.type().status()
            + " "
            + failure.type().title()
            + "\r\nConnection: close\r\nContent-Type: "
            + ProblemDocument.CONTENT_TYPE
            + (notAllowed ? "\r\nAllow: " + AllowedMethods.ofServices() : "")
            + "\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(headBytes.length + body.length).put(headBytes).put(body).flip();
  }

  private static Failure failureOf(String message, byte[] received) {
    if (message.startsWith(UNKNOWN_METHOD) && hasStartLine(received)) {
      return Failure.notRun(FailureType.METHOD_NOT_ALLOWED, "method is not known");
    }
    if (message.startsWith(LONG_HEADER)
        || message.startsWith(MANY_HEADERS)
        || message.startsWith(LONG_URL)) {
      return Failure.notRun(FailureType.REQUEST_TOO_LARGE, "head of the request is too large");
    }
    return Failure.notRun(FailureType.MALFORMED_REQUEST, "request is not valid HTTP");
  }

  private static boolean hasStartLine(byte[] received) {
    return START_LINE.matcher(new String(received, StandardCharsets.ISO_8859_1)).lookingAt();
  }
}
