package org.snipewick.transport.response;

import static org.snipewick.transport.response.MalformedResponseException.check;

import java.util.List;

/**
 * Reads the response on one connection in pieces of any size, and checks that it is a response of
 * HTTP/1.1 (RFC 9112). Looks at each byte of a head once and keeps none. Used on one thread.
 */
public final class ResponseReader {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final LineEnds lineEnds = new LineEnds();
  private final StatusLine statusLine = new StatusLine(lineEnds);
  private final FramingField.ContentLength contentLength = new FramingField.ContentLength();
  private final FramingField.TransferEncoding transferEncoding =
      new FramingField.TransferEncoding();
  private MessagePart part = statusLine;

  private ResponseReader() {}

  /**
   * Returns a reader for a connection with one request.
   *
   * @return reader that expects a response
   */
  public static ResponseReader ofOneResponse() {
    return new ResponseReader();
  }

  /**
   * Reads bytes that have arrived. To be called no more once it has failed.
   *
   * @param bytes array with the bytes
   * @param from index of the first byte
   * @param to index behind the last byte
   * @throws MalformedResponseException if the bytes that were read so far do not begin a response
   */
  public void read(byte[] bytes, int from, int to) throws MalformedResponseException {
    int position = from;
    while (position < to) {
      position = part.read(bytes, position, to);
      if (part.isComplete()) {
        part = next();
      }
    }
  }

  private MessagePart next() throws MalformedResponseException {
    if (part == statusLine) {
      return new FieldSection(lineEnds, List.of(contentLength, transferEncoding));
    }
    return part instanceof FieldSection ? body() : new MessageEnd();
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
      return new MessageEnd();
    }
    if (isChunked) {
      return new ChunkedBody(lineEnds);
    }
    if (statesBody) {
      return new LengthBody(contentLength.bytes());
    }
    return contentLength.isPresent() ? new MessageEnd() : new UnframedBody();
  }
}
