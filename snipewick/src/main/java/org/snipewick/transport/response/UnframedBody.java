package org.snipewick.transport.response;

/** Body that ends with its connection. */
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
