package org.snipewick.store.access;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import org.snipewick.store.Write;

/** Size limits of the store. A write beyond them would fail all writes that share its call. */
final class StoreLimits {
  /** Maximum encoded bytes of the writes in a call, which leaves room for its other fields. */
  static final int MAX_CALL_BYTES = 900_000;

  private static final int MAX_KEY_BYTES = 200;
  private static final int MAX_VALUE_BYTES = 65_536;

  /** Approximate bytes of a write apart from key and value, in its condition and in the write. */
  private static final int ROW_OVERHEAD_BYTES = 200;

  private StoreLimits() {}

  /** Returns the reason why a write cannot be sent; empty if it can. */
  static Optional<String> rejectionReason(Write write) {
    if (!isEncodable(write.key()) || !isEncodable(value(write))) {
      return Optional.of("key or value cannot be encoded as UTF-8");
    }
    if (write.key().getBytes(UTF_8).length > MAX_KEY_BYTES) {
      return Optional.of("key is longer than " + MAX_KEY_BYTES + " bytes");
    }
    return value(write).getBytes(UTF_8).length > MAX_VALUE_BYTES
        ? Optional.of("value is longer than " + MAX_VALUE_BYTES + " bytes")
        : Optional.empty();
  }

  /**
   * Returns the approximate size of a write in a call, in bytes. The call contains the key twice,
   * in the condition and in the write, and the value in Base64.
   */
  static int encodedBytes(Write write) {
    return ROW_OVERHEAD_BYTES
        + 2 * write.key().length()
        + value(write).getBytes(UTF_8).length * 4 / 3;
  }

  private static boolean isEncodable(String text) {
    return UTF_8.newEncoder().canEncode(text);
  }

  private static String value(Write write) {
    if (write instanceof Write.Insert insert) {
      return insert.value();
    }
    return write instanceof Write.Replace replace ? replace.value() : "";
  }
}
