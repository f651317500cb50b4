package org.snipewick.request.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.ProblemDocument;
import org.snipewick.request.ProblemText;

/** Builds responses to requests that the HTTP server cannot parse and never passes to a servlet. */
final class MalformedRequests {
  // Beginnings of the messages by which the exceptions of the HTTP parser are distinguished.
  private static final String UNKNOWN_METHOD_PREFIX = "Unknown HTTP method";
  private static final String HEADER_TOO_LONG_PREFIX = "Header line exceeds max header size";
  private static final String TOO_MANY_HEADERS_PREFIX = "Too many headers";
  private static final String URL_TOO_LONG_PREFIX = "URL length exceeds";
  private static final Pattern REQUEST_LINE =
      Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64} \\S+ HTTP/1\\.[01]\r?\n");

  private MalformedRequests() {}

  /**
   * Renders a response, after which the connection must be closed.
   *
   * @param thrown exception of the HTTP parser
   * @param received bytes of the request that were received
   * @return complete HTTP response, including its status line and headers
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
            + (notAllowed ? "\r\nAllow: " + AllowedMethods.forServices() : "")
            + "\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(headBytes.length + body.length).put(headBytes).put(body).flip();
  }

  private static Failure failureOf(String message, byte[] received) {
    if (message.startsWith(UNKNOWN_METHOD_PREFIX) && hasValidRequestLine(received)) {
      return Failure.notRun(FailureType.METHOD_NOT_ALLOWED, "unknown HTTP method");
    }
    if (message.startsWith(HEADER_TOO_LONG_PREFIX)
        || message.startsWith(TOO_MANY_HEADERS_PREFIX)
        || message.startsWith(URL_TOO_LONG_PREFIX)) {
      return Failure.notRun(FailureType.REQUEST_TOO_LARGE, "request line or headers are too large");
    }
    return Failure.notRun(FailureType.MALFORMED_REQUEST, "request is not valid HTTP");
  }

  private static boolean hasValidRequestLine(byte[] received) {
    return REQUEST_LINE.matcher(new String(received, StandardCharsets.ISO_8859_1)).lookingAt();
  }
}
