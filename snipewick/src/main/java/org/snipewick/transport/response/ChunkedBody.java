package org.snipewick.transport.response;

import static org.snipewick.transport.response.MalformedResponseException.check;

import java.util.List;

/**
 * Body in chunks, with its trailer (RFC 9112, 7.1). Unlike those of a head, the lines of chunks end
 * with a carriage return and a line feed only.
 */
final class ChunkedBody implements MessagePart {
  private static final int HEXADECIMAL = 16;

  /** Larger sizes overflow an integer, which is how the HTTP client keeps them. */
  private static final long MAX_SIZE = Integer.MAX_VALUE;

  private final FieldSection trailer;
  private State state = State.SIZE_START;
  private long remainingBytes;

  ChunkedBody(LineEnds lineEnds) {
    this.trailer = new FieldSection(lineEnds, List.of());
  }

  private enum State {
    SIZE_START,
    SIZE,
    BLANKS,
    EXTENSION,
    SIZE_LINE_FEED,
    DATA,
    DATA_CARRIAGE_RETURN,
    DATA_LINE_FEED,
    TRAILER
  }

  @Override
  public boolean isComplete() {
    return trailer.isComplete();
  }

  @Override
  public int read(byte[] bytes, int from, int to) throws MalformedResponseException {
    int position = from;
    while (position < to && !isComplete()) {
      switch (state) {
        case DATA -> position = skipData(position, to);
        case TRAILER -> position = trailer.read(bytes, position, to);
        default -> accept(bytes[position++]);
      }
    }
    return position;
  }

  private int skipData(int from, int to) {
    int length = (int) Math.min(remainingBytes, to - from);
    remainingBytes -= length;
    if (remainingBytes == 0) {
      state = State.DATA_CARRIAGE_RETURN;
    }
    return from + length;
  }

  private void accept(byte next) throws MalformedResponseException {
    switch (state) {
      case SIZE_START -> acceptDigit(next);
      case SIZE -> {
        if (Characters.hexadecimalDigit(next) >= 0) {
          acceptDigit(next);
        } else {
          acceptBehindSize(next);
        }
      }
      case BLANKS -> {
        check(Characters.isBlank(next) || next == ';', ResponseRule.CHUNK);
        state = next == ';' ? State.EXTENSION : State.BLANKS;
      }
      case EXTENSION -> {
        boolean isEnd = next == Characters.CARRIAGE_RETURN;
        check(isEnd || Characters.isText(next), ResponseRule.CHUNK);
        state = isEnd ? State.SIZE_LINE_FEED : State.EXTENSION;
      }
      case SIZE_LINE_FEED -> {
        check(next == Characters.LINE_FEED, ResponseRule.CHUNK);
        state = remainingBytes == 0 ? State.TRAILER : State.DATA;
      }
      case DATA_CARRIAGE_RETURN -> {
        check(next == Characters.CARRIAGE_RETURN, ResponseRule.CHUNK);
        state = State.DATA_LINE_FEED;
      }
      default -> {
        check(next == Characters.LINE_FEED, ResponseRule.CHUNK);
        state = State.SIZE_START;
      }
    }
  }

  private void acceptDigit(byte next) throws MalformedResponseException {
    int digit = Characters.hexadecimalDigit(next);
    check(digit >= 0, ResponseRule.CHUNK);
    remainingBytes = remainingBytes * HEXADECIMAL + digit;
    check(remainingBytes <= MAX_SIZE, ResponseRule.CHUNK);
    state = State.SIZE;
  }

  private void acceptBehindSize(byte next) throws MalformedResponseException {
    if (next == Characters.CARRIAGE_RETURN) {
      state = State.SIZE_LINE_FEED;
    } else if (next == ';') {
      state = State.EXTENSION;
    } else {
      check(Characters.isBlank(next), ResponseRule.CHUNK);
      state = State.BLANKS;
    }
  }
}
