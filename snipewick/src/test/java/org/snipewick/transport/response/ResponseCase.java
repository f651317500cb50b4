package org.snipewick.transport.response;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.util.Objects.requireNonNull;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Response of an endpoint as a template. In it, {@code [F]} stands for the header fields that the
 * client of the test requires, {@code [L]} for the number of bytes of the body, {@code [H]} for a
 * number that is equal to it in 32 bits, {@code [B]} for the body, and {@code [C]} for the body in
 * two chunks, without the last chunk. Two hexadecimal digits in brackets stand for a byte.
 *
 * @param name what is special about the response
 * @param template bytes, as ISO 8859-1
 */
public record ResponseCase(String name, String template) {
  private static final long OVERFLOW = 1L << 32;
  private static final int HEXADECIMAL = 16;
  private static final Pattern BYTE = Pattern.compile("\\[([0-9a-f]{2})]");

  /** Checks the components. */
  public ResponseCase {
    requireNonNull(name, "name");
    requireNonNull(template, "template");
  }

  /**
   * Returns the response to a client that requires these fields, each with its line end. In a
   * template with line feeds alone, the fields end so too.
   */
  public String response(String fields, String body) {
    int length = body.getBytes(ISO_8859_1).length;
    return BYTE.matcher(template)
        .replaceAll(match -> Matcher.quoteReplacement(toByte(match.group(1))))
        .replace("[F]", template.contains("\r\n") ? fields : fields.replace("\r", ""))
        .replace("[L]", Integer.toString(length))
        .replace("[H]", Long.toString(OVERFLOW + length))
        .replace("[B]", body)
        .replace("[C]", chunks(body));
  }

  private static String toByte(String digits) {
    return Character.toString(Integer.parseInt(digits, HEXADECIMAL));
  }

  private static String chunks(String body) {
    int middle = body.length() / 2;
    return chunk(body.substring(0, middle)) + chunk(body.substring(middle));
  }

  private static String chunk(String data) {
    return Integer.toHexString(data.length()).toUpperCase(Locale.ROOT) + "\r\n" + data + "\r\n";
  }

  @Override
  public String toString() {
    return name;
  }
}
