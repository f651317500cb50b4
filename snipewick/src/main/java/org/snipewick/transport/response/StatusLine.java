package org.snipewick.transport.response;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.util.Objects.requireNonNull;
import static org.snipewick.transport.response.MalformedResponseException.check;

/**
 * First line of a response, with its end (RFC 9112, 4). The blank behind the status is optional.
 */
final class StatusLine implements MessagePart {
  private static final byte[] START = "HTTP/1.".getBytes(US_ASCII);
  private static final int MINOR_VERSION_INDEX = START.length;
  private static final int STATUS_INDEX = "HTTP/1.1 ".length();
  private static final int STATUS_END = "HTTP/1.1 200".length();
  private static final int DECIMAL = 10;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int FIRST_INTERIM_STATUS = 100;
  private static final int MAX_STATUS = 599;

  private final LineEnds lineEnds;
  private int length;
  private int minorVersion;
  private int status;
  private boolean isComplete;

  StatusLine(LineEnds lineEnds) {
    this.lineEnds = requireNonNull(lineEnds, "lineEnds");
  }

  /** Returns the minor version, 0 or 1. */
  int minorVersion() {
    return minorVersion;
  }

  /** Returns the status, from 200 to 599. */
  int status() {
    return status;
  }

  @Override
  public boolean isComplete() {
    return isComplete;
  }

  @Override
  public int read(byte[] bytes, int from, int to) throws MalformedResponseException {
    int position = from;
    while (position < to && !isComplete) {
      accept(bytes[position++]);
    }
    return position;
  }

  private void accept(byte next) throws MalformedResponseException {
    if (length >= STATUS_END && lineEnds.isPart(next)) {
      isComplete = lineEnds.accept(next);
    } else {
      check(isExpected(next), ResponseRule.STATUS_LINE);
    }
    length++;
    if (length == STATUS_END) {
      checkStatus();
    }
  }

  private boolean isExpected(byte next) {
    if (length < START.length) {
      return next == START[length];
    }
    if (length == MINOR_VERSION_INDEX) {
      minorVersion = Characters.decimalDigit(next);
      return minorVersion == 0 || minorVersion == 1;
    }
    if (length < STATUS_INDEX || length == STATUS_END) {
      return next == Characters.SPACE;
    }
    if (length < STATUS_END) {
      int digit = Characters.decimalDigit(next);
      status = status * DECIMAL + digit;
      return digit >= 0;
    }
    return Characters.isText(next);
  }

  private void checkStatus() throws MalformedResponseException {
    check(status >= FIRST_INTERIM_STATUS && status <= MAX_STATUS, ResponseRule.STATUS_LINE);
    check(status >= FIRST_FINAL_STATUS, ResponseRule.FINAL_STATUS);
  }
}
