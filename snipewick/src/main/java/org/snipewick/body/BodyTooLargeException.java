package org.snipewick.body;

/** Failure of a body that exceeds its maximum size. */
public final class BodyTooLargeException extends Exception {
  private static final long serialVersionUID = 1;

  BodyTooLargeException(int maxBytes) {
    super("body is larger than " + maxBytes);
  }
}
