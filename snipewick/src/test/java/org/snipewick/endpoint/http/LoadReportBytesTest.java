package org.snipewick.endpoint.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewick.endpoint.LoadReport;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;
import org.snipewick.pool.EndpointStatus;

/** Measures the bytes that one read of a load report transfers. */
class LoadReportBytesTest {
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String BODY =
      "{\"state\":\"live\",\"running\":3,\"queued\":0,\"kvTokens\":9000,\"maxKvTokens\":131072,"
          + "\"cacheTokens\":65536,\"maxInFlight\":16,\"models\":[\"planner\"],"
          + "\"asOfMillis\":1796357793544}";
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Type: application/json\r\n"
          + "Content-Length: "
          + BODY.length()
          + END_OF_HEAD
          + BODY;

  /**
   * Counts request and response with headers, without TCP/IP; docs/CAPACITY.md states the limit.
   */
  @Test
  @Timeout(20)
  void shouldTransferFewerBytesThanLimitWhenReportIsRead() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        TestEventLoop loop = TestEventLoop.start()) {
      CompletableFuture<LoadReport> report =
          HttpLoadReportClient.of(loop.eventloop()).read(statusOf(server.getLocalPort()));
      int requestBytes = respond(server);
      assertThat(report.get(10, TimeUnit.SECONDS).running()).isEqualTo(3);
      int totalBytes = requestBytes + RESPONSE.length();
      System.out.printf(
          "bytes of a load report: %d of the request, %d in all%n", requestBytes, totalBytes);
      assertThat(totalBytes).isLessThan(350);
    }
  }

  private static int respond(ServerSocket server) throws IOException {
    try (Socket socket = server.accept()) {
      StringBuilder head = new StringBuilder();
      InputStream in = socket.getInputStream();
      while (head.indexOf(END_OF_HEAD) < 0) {
        head.append((char) in.read());
      }
      socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
      return head.length();
    }
  }

  private static EndpointStatus statusOf(int port) {
    return new EndpointStatus(
        EndpointId.of("wickpool-7"),
        "127.0.0.1",
        port,
        EndpointStatus.State.LIVE,
        Tier.FOUR,
        16,
        65_536,
        -1,
        -1,
        -1,
        0);
  }
}
