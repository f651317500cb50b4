package org.snipewick.transport.response;

/** Body whose number of bytes is stated. */
final class LengthBody implements MessagePart {
  private long remainingBytes;

  LengthBody(long bytes) {
    this.remainingBytes = bytes;
  }

  @Override
  public boolean isComplete() {
    return remainingBytes == 0;
  }

  @Override
  public int read(byte[] bytes, int from, int to) {
    int length = (int) Math.min(remainingBytes, to - from);
    remainingBytes -= length;
    return from + length;
  }
}
