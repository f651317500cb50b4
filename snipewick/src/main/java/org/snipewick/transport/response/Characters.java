package org.snipewick.transport.response;

/** Classes of bytes in the head of a message (RFC 9110, 5.5 and 5.6.2). */
final class Characters {
  static final byte CARRIAGE_RETURN = '\r';
  static final byte LINE_FEED = '\n';
  static final byte SPACE = ' ';

  private static final byte TAB = '\t';
  private static final byte DELETE = 0x7f;
  private static final int BYTE_VALUES = 256;
  private static final int DECIMAL = 10;
  private static final int HEXADECIMAL = 16;
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final boolean[] TOKEN = new boolean[BYTE_VALUES];
  private static final boolean[] TEXT = new boolean[BYTE_VALUES];

  static {
    for (int value = 0; value < BYTE_VALUES; value++) {
      TEXT[value] = value == TAB || (value >= SPACE && value != DELETE);
      TOKEN[value] =
          (value >= '0' && value <= '9')
              || (value >= 'A' && value <= 'Z')
              || (value >= 'a' && value <= 'z')
              || TOKEN_SYMBOLS.indexOf(value) >= 0;
    }
  }

  private Characters() {}

  /** Returns whether a byte may be in a field name. */
  static boolean isToken(byte value) {
    return TOKEN[value & 0xff];
  }

  /** Returns whether a byte may be in a field value or a reason phrase. */
  static boolean isText(byte value) {
    return TEXT[value & 0xff];
  }

  /** Returns whether a byte is optional whitespace. */
  static boolean isBlank(byte value) {
    return value == SPACE || value == TAB;
  }

  /** Returns the value of a decimal digit; negative if the byte is none. */
  static int decimalDigit(byte value) {
    return Character.digit(value, DECIMAL);
  }

  /** Returns the value of a hexadecimal digit; negative if the byte is none. */
  static int hexadecimalDigit(byte value) {
    return Character.digit(value, HEXADECIMAL);
  }

  /** Returns a letter in lower case, and any other byte as it is. */
  static byte toLowerCase(byte value) {
    return value >= 'A' && value <= 'Z' ? (byte) (value + ('a' - 'A')) : value;
  }
}
