package org.snipewick.transport.response;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.snipewick.transport.response.MalformedResponseException.check;

/** Field that states where the body of a response ends. Its value is read byte by byte. */
sealed interface FramingField {

  /** Returns the name in lower case. */
  byte[] name();

  /** Returns whether the field is present. */
  boolean isPresent();

  /** Begins the value of a line of this field. */
  void begin();

  /** Reads a byte of the value, or of the blanks around it. */
  void accept(byte next) throws MalformedResponseException;

  /** Ends the value. */
  void end() throws MalformedResponseException;

  /** Number of bytes of the body. */
  final class ContentLength implements FramingField {
    private static final byte[] NAME = "content-length".getBytes(US_ASCII);
    private static final int DECIMAL = 10;

    private boolean isPresent;
    private long bytes;
    private long value;
    private boolean hasDigits;
    private boolean hasEnded;

    /** Returns the number of bytes; 0 if the field is not present. */
    long bytes() {
      return bytes;
    }

    @Override
    public byte[] name() {
      return NAME;
    }

    @Override
    public boolean isPresent() {
      return isPresent;
    }

    @Override
    public void begin() {
      value = 0;
      hasDigits = false;
      hasEnded = false;
    }

    @Override
    public void accept(byte next) throws MalformedResponseException {
      if (Characters.isBlank(next)) {
        hasEnded = hasDigits;
        return;
      }
      int digit = Characters.decimalDigit(next);
      boolean fits = value <= (Long.MAX_VALUE - digit) / DECIMAL;
      check(digit >= 0 && !hasEnded && fits, ResponseRule.CONTENT_LENGTH);
      value = value * DECIMAL + digit;
      hasDigits = true;
    }

    @Override
    public void end() throws MalformedResponseException {
      check(hasDigits, ResponseRule.CONTENT_LENGTH);
      check(!isPresent || value == bytes, ResponseRule.EQUAL_CONTENT_LENGTHS);
      isPresent = true;
      bytes = value;
    }
  }

  /**
   * Coding of the body, which must be chunked. Blanks behind it are optional whitespace, but the
   * HTTP client takes them for a part of the coding.
   */
  final class TransferEncoding implements FramingField {
    private static final byte[] NAME = "transfer-encoding".getBytes(US_ASCII);
    private static final byte[] CHUNKED = "chunked".getBytes(US_ASCII);

    private boolean isPresent;
    private int length;

    @Override
    public byte[] name() {
      return NAME;
    }

    @Override
    public boolean isPresent() {
      return isPresent;
    }

    @Override
    public void begin() {
      length = 0;
    }

    @Override
    public void accept(byte next) throws MalformedResponseException {
      if (length == 0 && Characters.isBlank(next)) {
        return;
      }
      boolean isExpected =
          length < CHUNKED.length && Characters.toLowerCase(next) == CHUNKED[length];
      check(isExpected, ResponseRule.TRANSFER_ENCODING);
      length++;
    }

    @Override
    public void end() throws MalformedResponseException {
      check(length == CHUNKED.length && !isPresent, ResponseRule.TRANSFER_ENCODING);
      isPresent = true;
    }
  }
}
