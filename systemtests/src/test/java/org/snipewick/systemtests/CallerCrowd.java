package org.snipewick.systemtests;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/** Callers that send a part of a request and keep their connections open. */
public final class CallerCrowd implements AutoCloseable {
  /** Time after which the crowd is complete even if the process does not read what it sends. */
  private static final long SENDING_NANOS = 20_000_000_000L;

  /** Small, so that responses that are not read stay in the process. */
  private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

  private static final long PASS_NANOS = 5_000_000;

  private final InetSocketAddress address;
  private final String requestLine;
  private final List<SocketChannel> callers = new ArrayList<>();

  /**
   * Creates a crowd without callers.
   *
   * @param address address that the callers connect to
   * @param methodAndPath method and path of their requests
   */
  public CallerCrowd(InetSocketAddress address, String methodAndPath) {
    this.address = address;
    this.requestLine = methodAndPath + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  }

  /** Returns a head of some bytes that does not end. */
  public String endlessHead(int bytes) {
    return requestLine + ("X-Filler: " + "x".repeat(988) + "\r\n").repeat(bytes / 1_000);
  }

  /** Returns empty lines of some bytes. */
  public String emptyLines(int bytes) {
    return "\r\n".repeat(bytes / 2);
  }

  /** Returns a request whose body stops after some chunks of one byte. */
  public String bodyInTinyChunks(int chunks) {
    return chunkedHead() + "1\r\nx\r\n".repeat(chunks);
  }

  /** Returns a request whose body stops a byte before the end of a chunk. */
  public String bodyInLargeChunk(int bytes) {
    return chunkedHead() + Integer.toHexString(bytes + 1) + "\r\n" + "x".repeat(bytes);
  }

  /** Returns a request whose last chunk is followed by trailers that do not end. */
  public String endlessTrailers(int bytes) {
    return chunkedHead()
        + "1\r\nx\r\n0\r\n"
        + ("X-Filler: " + "x".repeat(988) + "\r\n").repeat(bytes / 1_000);
  }

  /** Returns a request with a chunk whose extension does not end. */
  public String endlessChunkExtension(int bytes) {
    return chunkedHead() + "1;" + "x".repeat(bytes);
  }

  /** Returns a whole request without a body, and the beginning of the head of a further one. */
  public String beginOfFurtherHead() {
    return wholeRequest() + requestLine;
  }

  /** Returns a whole request without a body, for a response that is not read. */
  public String wholeRequest() {
    return requestLine + "Request-Id: crowd\r\nContent-Length: 0\r\n\r\n";
  }

  private String chunkedHead() {
    return requestLine + "Request-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  /** Returns a text some times. */
  public static List<String> repeat(int count, String text) {
    return IntStream.range(0, count).mapToObj(index -> text).toList();
  }

  /** Sends the same text as often, as {@link #send(List)} does. */
  public void send(int count, String text) throws IOException {
    send(repeat(count, text));
  }

  /** Opens a connection for each text, sends the texts as far as they are read, and stops. */
  public void send(List<String> texts) throws IOException {
    List<SocketChannel> added = new ArrayList<>();
    List<ByteBuffer> unsent = new ArrayList<>();
    for (String text : texts) {
      SocketChannel caller = SocketChannel.open();
      caller.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      caller.connect(address);
      caller.configureBlocking(false);
      added.add(caller);
      unsent.add(ByteBuffer.wrap(text.getBytes(US_ASCII)));
    }
    callers.addAll(added);
    long endNanos = System.nanoTime() + SENDING_NANOS;
    while (unsent.stream().anyMatch(ByteBuffer::hasRemaining) && System.nanoTime() < endNanos) {
      for (int index = 0; index < unsent.size(); index++) {
        sendSome(added.get(index), unsent.get(index));
      }
      LockSupport.parkNanos(PASS_NANOS);
    }
  }

  private static void sendSome(SocketChannel caller, ByteBuffer unsent) {
    try {
      caller.write(unsent);
    } catch (IOException closedByProcess) {
      unsent.position(unsent.limit());
    }
  }

  @Override
  public void close() throws IOException {
    for (SocketChannel caller : callers) {
      caller.close();
    }
  }
}
