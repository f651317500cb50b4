package org.snipewick.transport.response;

import static org.snipewick.transport.response.MalformedResponseException.check;

import java.util.List;

/**
 * Reads the responses on one connection in pieces of any size, and checks that they are responses
 * of HTTP/1.1 (RFC 9112). Looks at each byte of a head once and keeps none. Used on one thread.
 */
public final class ResponseReader {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final boolean isConnectionReused;
  private LineEnds lineEnds;
  private StatusLine statusLine;
  private FramingField.ContentLength contentLength;
  private FramingField.TransferEncoding transferEncoding;
  private MessagePart part;

  private ResponseReader(boolean isConnectionReused) {
    this.isConnectionReused = isConnectionReused;
    begin();
  }

  /**
   * Returns a reader for a connection with one request.
   *
   * @return reader that expects a response
   */
  public static ResponseReader ofOneResponse() {
    return new ResponseReader(false);
  }

  /**
   * Returns a reader for a connection with several requests, one after the other.
   *
   * @return reader that expects the first response
   */
  public static ResponseReader ofManyResponses() {
    return new ResponseReader(true);
  }

  /** Expects another response if the connection is reused and the one before is complete. */
  public void requestSent() {
    if (isConnectionReused && part instanceof MessageEnd) {
      begin();
    }
  }

  /**
   * Reads bytes that have arrived. To be called no more once it has failed.
   *
   * @param bytes array with the bytes
   * @param from index of the first byte
   * @param to index behind the last byte
   * @return index behind the last byte that belongs to the response
   * @throws MalformedResponseException if the bytes that were read so far do not begin a response
   */
  public int read(byte[] bytes, int from, int to) throws MalformedResponseException {
    int position = from;
    int end = from;
    while (position < to) {
      position = part.read(bytes, position, to);
      if (!(part instanceof MessageEnd)) {
        end = position;
      }
      if (part.isComplete()) {
        part = next();
      }
    }
    return end;
  }

  private void begin() {
    lineEnds = new LineEnds();
    statusLine = new StatusLine(lineEnds);
    contentLength = new FramingField.ContentLength();
    transferEncoding = new FramingField.TransferEncoding();
    part = statusLine;
  }

  private MessagePart next() throws MalformedResponseException {
    if (part == statusLine) {
      return new FieldSection(lineEnds, List.of(contentLength, transferEncoding));
    }
    return part instanceof FieldSection ? body() : new MessageEnd(isConnectionReused);
  }

  private MessagePart body() throws MalformedResponseException {
    boolean isChunked = transferEncoding.isPresent();
    check(!isChunked || !contentLength.isPresent(), ResponseRule.SINGLE_FRAMING);
    check(!isChunked || statusLine.minorVersion() > 0, ResponseRule.TRANSFER_ENCODING_VERSION);
    int status = statusLine.status();
    boolean mayHaveBody = status != NO_CONTENT && status != NOT_MODIFIED;
    boolean statesBody = isChunked || contentLength.bytes() > 0;
    check(status != NO_CONTENT || !statesBody, ResponseRule.NO_CONTENT);
    if (!mayHaveBody) {
      return new MessageEnd(isConnectionReused);
    }
    if (isChunked) {
      return new ChunkedBody(lineEnds);
    }
    if (statesBody) {
      return new LengthBody(contentLength.bytes());
    }
    return contentLength.isPresent() ? new MessageEnd(isConnectionReused) : new UnframedBody();
  }
}
