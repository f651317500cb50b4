package org.snipewick.transport.response;

/** Part of a response that is read in pieces of any size, each byte once. */
sealed interface MessagePart
    permits StatusLine, FieldSection, LengthBody, ChunkedBody, UnframedBody, MessageEnd {

  /**
   * Reads bytes of this part.
   *
   * @param bytes bytes of the connection
   * @param from index of the first byte that has not been read
   * @param to index behind the last byte
   * @return index behind the last byte of this part, or {@code to}
   * @throws MalformedResponseException if the bytes break a rule
   */
  int read(byte[] bytes, int from, int to) throws MalformedResponseException;

  /** Returns whether the last byte of this part has been read. */
  boolean isComplete();
}
