package org.snipewick.transport.response;

/** Body whose end is found by the HTTP client alone. */
final class UnframedBody implements MessagePart {

  @Override
  public boolean isComplete() {
    return false;
  }

  @Override
  public int read(byte[] bytes, int from, int to) {
    return to;
  }
}
