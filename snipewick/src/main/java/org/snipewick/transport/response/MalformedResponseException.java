package org.snipewick.transport.response;

import static java.util.Objects.requireNonNull;

import java.io.Serial;

/** Thrown for bytes that are not a response. Has no stack trace, and none of the bytes. */
public final class MalformedResponseException extends Exception {
  @Serial private static final long serialVersionUID = 1;

  private final ResponseRule rule;

  /**
   * Creates an exception.
   *
   * @param rule rule that the bytes break
   */
  public MalformedResponseException(ResponseRule rule) {
    super(requireNonNull(rule, "rule").violation(), null, false, false);
    this.rule = rule;
  }

  /** Returns the rule that the bytes break. */
  public ResponseRule rule() {
    return rule;
  }

  /** Throws the exception for a rule unless it is kept. */
  static void check(boolean isKept, ResponseRule rule) throws MalformedResponseException {
    if (!isKept) {
      throw new MalformedResponseException(rule);
    }
  }
}
