package org.snipewick.relay;

/**
 * Position in a stream of server-sent events, of which each ends with two line feeds in succession;
 * carriage returns are ignored.
 */
final class EventBoundary {
  private boolean isInsideEvent;
  private byte previous;

  /** Moves past a byte; returns whether an event ends with it. */
  boolean accept(byte next) {
    if (next == '\r') {
      return false;
    }
    boolean isEnd = next == '\n' && previous == '\n';
    isInsideEvent = !isEnd && (isInsideEvent || next != '\n');
    previous = next;
    return isEnd;
  }

  /** Returns whether the bytes since the latest end of an event begin another one. */
  boolean isInsideEvent() {
    return isInsideEvent;
  }

  /** Moves to the beginning of an event. */
  void reset() {
    isInsideEvent = false;
    previous = 0;
  }
}
