package org.snipewick.transport.response;

import static org.snipewick.transport.response.MalformedResponseException.check;

/**
 * Ends of the lines of a head. A line feed alone is accepted (RFC 9112, 2.2) if all lines end so:
 * beside others, it may be a spoilt carriage return, whose line feed would then end the head.
 */
final class LineEnds {
  private boolean isDecided;
  private boolean isCarriageReturnExpected;
  private boolean isInside;

  /** Returns whether a byte belongs to the end of a line. */
  boolean isPart(byte next) {
    return isInside || next == Characters.CARRIAGE_RETURN || next == Characters.LINE_FEED;
  }

  /** Reads a byte of the end of a line and returns whether it is the last one. */
  boolean accept(byte next) throws MalformedResponseException {
    if (next == Characters.CARRIAGE_RETURN && !isInside) {
      isInside = true;
      return false;
    }
    check(next == Characters.LINE_FEED, ResponseRule.LINE_END);
    check(!isDecided || isInside == isCarriageReturnExpected, ResponseRule.LINE_END);
    isDecided = true;
    isCarriageReturnExpected = isInside;
    isInside = false;
    return true;
  }
}
