package org.snipewick.store.access;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import org.snipewick.store.Write;

/** What the store takes in a call. A write beyond that would fail all that share its call. */
final class StoreLimits {
  /** Most bytes of a call, with room left for its frame. */
  static final int CALL_BYTES = 900_000;

  private static final int KEY_BYTES = 200;
  private static final int VALUE_BYTES = 65_536;

  /** Bytes of the names of the fields around a row, which a call has twice. */
  private static final int FRAME_BYTES = 200;

  private StoreLimits() {}

  /** Returns why a write cannot be sent; empty if it can. */
  static Optional<String> refusal(Write write) {
    if (!isText(write.key()) || !isText(value(write))) {
      return Optional.of("key or value is not valid text");
    }
    if (write.key().getBytes(UTF_8).length > KEY_BYTES) {
      return Optional.of("key is longer than " + KEY_BYTES + " bytes");
    }
    return value(write).getBytes(UTF_8).length > VALUE_BYTES
        ? Optional.of("value is longer than " + VALUE_BYTES + " bytes")
        : Optional.empty();
  }

  /** Returns about how many bytes a write takes in a call, where values are in Base64. */
  static int encodedBytes(Write write) {
    return FRAME_BYTES + 2 * write.key().length() + value(write).getBytes(UTF_8).length * 4 / 3;
  }

  private static boolean isText(String text) {
    return UTF_8.newEncoder().canEncode(text);
  }

  private static String value(Write write) {
    if (write instanceof Write.Insert insert) {
      return insert.value();
    }
    return write instanceof Write.Replace replace ? replace.value() : "";
  }
}
