package org.snipewick.bench.cluster;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.snipewick.identity.RequestId;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;

/** Reads the failure domain of a caller from the first bytes of its connection. */
final class CallerDomains {
  private static final PeerCodec CODEC = PeerCodec.ofAll();
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)\r\nX-Request-Id: *(\\S+)\r\n");

  private CallerDomains() {}

  /** Function from the first bytes of a connection to the failure domain of the caller. */
  @FunctionalInterface
  interface DomainFinder {

    /** Returns the failure domain, or empty if more bytes are needed. */
    Optional<String> find(byte[] head);
  }

  static Optional<String> fixed(String domain) {
    return Optional.of(domain);
  }

  /**
   * Returns the failure domain in the first frame of a connection between instances; empty if the
   * frame is incomplete or of another kind.
   */
  static Optional<String> fromHello(byte[] head) {
    ByteBuffer buffer = ByteBuffer.wrap(head);
    if (buffer.remaining() < Integer.BYTES) {
      return Optional.empty();
    }
    int length = buffer.getInt();
    if (buffer.remaining() < length) {
      return Optional.empty();
    }
    byte[] frame = new byte[length];
    buffer.get(frame);
    return CODEC.decode(frame) instanceof Frame.Hello hello
        ? Optional.of(Cluster.domain(hello.from().value()))
        : Optional.empty();
  }

  /**
   * Returns the failure domain in the request identifier of a dispatch, or the local domain of the
   * endpoint if there is no identifier; empty if the head of the request is incomplete.
   */
  static Optional<String> fromHttp(byte[] head, String localDomain) {
    String text = new String(head, StandardCharsets.ISO_8859_1);
    if (!text.contains("\r\n\r\n")) {
      return Optional.empty();
    }
    Matcher matcher = REQUEST_ID.matcher(text);
    return Optional.of(
        matcher.find()
            ? Cluster.domain(RequestId.parse(matcher.group(1)).instance().value())
            : localDomain);
  }
}
