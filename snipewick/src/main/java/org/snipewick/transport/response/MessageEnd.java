package org.snipewick.transport.response;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.snipewick.transport.response.MalformedResponseException.check;

/**
 * What follows a response on its connection. Line ends may be ignored (RFC 9112, 9.2). If the
 * connection is not used again, so may another response; all other bytes show that the length of
 * the response is wrong.
 */
final class MessageEnd implements MessagePart {
  private static final byte[] RESPONSE_START = "HTTP/1.".getBytes(US_ASCII);

  private final boolean isConnectionReused;
  private int startLength;

  MessageEnd(boolean isConnectionReused) {
    this.isConnectionReused = isConnectionReused;
  }

  @Override
  public boolean isComplete() {
    return false;
  }

  @Override
  public int read(byte[] bytes, int from, int to) throws MalformedResponseException {
    for (int position = from; position < to; position++) {
      accept(bytes[position]);
    }
    return to;
  }

  private void accept(byte next) throws MalformedResponseException {
    boolean isLineEnd = next == Characters.CARRIAGE_RETURN || next == Characters.LINE_FEED;
    if (startLength < RESPONSE_START.length && !(startLength == 0 && isLineEnd)) {
      boolean isAnotherResponse = !isConnectionReused && next == RESPONSE_START[startLength];
      check(isAnotherResponse, ResponseRule.END_OF_RESPONSE);
      startLength++;
    }
  }
}
