package org.snipewick.transport.response;

import static java.util.Objects.requireNonNull;

/** Rule of the grammar of responses that an endpoint can break. */
public enum ResponseRule {
  /** Version, status, reason phrase (RFC 9112, 4). */
  STATUS_LINE("status line is not a version 1.0 or 1.1, three digits and a reason phrase"),
  /** Requests never ask for an interim response (RFC 9110, 15.2). */
  FINAL_STATUS("status is not that of a final response"),
  /** A carriage return is followed by a line feed, and lines of a head end alike. */
  LINE_END("line ends within a head differ, or a carriage return is not followed by a line feed"),
  /** No line of a field section is folded (RFC 9112, 5.2). */
  FOLD("field line is folded"),
  /** A name is a token that is followed by a colon (RFC 9112, 5.1). */
  FIELD_NAME("field name is not a token that is followed by a colon"),
  /** No control character but a tab is in a value (RFC 9110, 5.5). */
  FIELD_VALUE("field value has a control character"),
  /** A length is a decimal number (RFC 9110, 8.6). */
  CONTENT_LENGTH("Content-Length is not a decimal number"),
  /** Repeated lengths agree (RFC 9112, 6.3). */
  EQUAL_CONTENT_LENGTHS("values of Content-Length differ"),
  /** The only transfer coding is chunked, once (RFC 9112, 6.1). */
  TRANSFER_ENCODING("Transfer-Encoding is not chunked, once, without blanks behind it"),
  /** A length is not beside a transfer coding (RFC 9112, 6.2). */
  SINGLE_FRAMING("both Content-Length and Transfer-Encoding are present"),
  /** A message of version 1.0 has no transfer coding (RFC 9112, 6.1). */
  TRANSFER_ENCODING_VERSION("Transfer-Encoding is present in version 1.0"),
  /** A response with status 204 has no body (RFC 9112, 6.3). */
  NO_CONTENT("status 204 with a body"),
  /** A chunk has its size in hexadecimal digits, and ends behind that size (RFC 9112, 7.1). */
  CHUNK("chunk is malformed"),
  /** Bytes behind a response show that its length is wrong (RFC 9112, 9.2). */
  END_OF_RESPONSE("bytes follow the end of the response");

  private final String violation;

  ResponseRule(String violation) {
    this.violation = requireNonNull(violation, "violation");
  }

  /** Returns what is wrong with a response that breaks this rule, without any of its bytes. */
  public String violation() {
    return violation;
  }
}
