import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** Client with one connection, which it keeps open while the other side does. */
final class Client implements AutoCloseable {
  /** Outcome of a request: a status, or why there is no answer. */
  record Result(int status, Http.Message message, String failure) {
    boolean isAnswered() {
      return status > 0;
    }

    @Override
    public String toString() {
      return isAnswered() ? "status " + status + " " + failure : "no answer: " + failure;
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  Client(int port) throws IOException {
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
    socket.setTcpNoDelay(true);
    in = Http.buffered(socket.getInputStream());
    out = socket.getOutputStream();
  }

  /** Sends raw bytes and reads one response. */
  Result exchange(byte[] request, long timeoutMillis) {
    return exchange(request, new byte[0], timeoutMillis);
  }

  Result exchange(byte[] head, byte[] body, long timeoutMillis) {
    try {
      out.write(head);
      out.write(body);
      out.flush();
    } catch (IOException broken) {
      // The other side may have answered before it closed the connection.
    }
    return read(timeoutMillis);
  }

  /** Sends a request; fails if the connection breaks before all of it is sent. */
  void send(byte[] head, byte[] body) throws IOException {
    out.write(head);
    out.write(body);
    out.flush();
  }

  Result read(long timeoutMillis) {
    try {
      socket.setSoTimeout((int) timeoutMillis);
      Http.Message response = Http.readHead(in);
      if (response == null) {
        return new Result(0, null, "connection was closed");
      }
      try {
        Http.readBody(in, response, true);
      } catch (IOException incomplete) {
        return new Result(response.status(), response, "incomplete: " + incomplete);
      }
      return new Result(response.status(), response, "");
    } catch (SocketTimeoutException silent) {
      return new Result(0, null, "silence");
    } catch (IOException | RuntimeException broken) {
      return new Result(0, null, broken.toString());
    }
  }

  /** Reads one response, and closes the connection if it is not complete after a time. */
  Result readUntil(long startNanos, long timeoutMillis) {
    Thread closer =
        Replica.daemon(
            () -> {
              try {
                Thread.sleep(timeoutMillis - (System.nanoTime() - startNanos) / 1_000_000L);
                close();
              } catch (InterruptedException complete) {
                Thread.currentThread().interrupt();
              }
            });
    Result result = read(timeoutMillis);
    closer.interrupt();
    return result;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException closed) {
      // The connection is closed already.
    }
  }
}
