package org.snipewick.bench.cluster;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.snipewick.identity.RequestId;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;

/** Finds the failure domain of a caller in the first bytes that it sends. */
final class Callers {
  private static final PeerCodec CODEC = PeerCodec.ofAll();
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)\r\nX-Request-Id: *(\\S+)\r\n");

  private Callers() {}

  /** Finds the failure domain of a caller. */
  @FunctionalInterface
  interface Finder {

    /** Returns the failure domain, or empty if more bytes are needed. */
    Optional<String> find(byte[] head);
  }

  static Optional<String> fixed(String domain) {
    return Optional.of(domain);
  }

  /** Reads the first frame of a connection between instances. */
  static Optional<String> ofHello(byte[] head) {
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

  /** Reads the identifier of a dispatch; calls without one come from the endpoint's own domain. */
  static Optional<String> ofHttp(byte[] head, String ownDomain) {
    String text = new String(head, StandardCharsets.ISO_8859_1);
    if (!text.contains("\r\n\r\n")) {
      return Optional.empty();
    }
    Matcher matcher = REQUEST_ID.matcher(text);
    return Optional.of(
        matcher.find()
            ? Cluster.domain(RequestId.parse(matcher.group(1)).instance().value())
            : ownDomain);
  }
}
