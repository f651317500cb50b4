import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP server on the loopback address with a thread for each connection. */
class Server {
  private final ServerSocket socket;
  private final Handler handler;

  /** Answers one request; returns whether the connection is kept. */
  interface Handler {
    boolean handle(Message request, OutputStream output) throws IOException;
  }

  Server(Handler handler) throws IOException {
    this.handler = handler;
    socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  int port() {
    return socket.getLocalPort();
  }

  static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  static void respond(OutputStream output, int status, String fields, byte[] body)
      throws IOException {
    String head =
        "HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    output.write(all);
    output.flush();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        start(() -> serve(connection));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(connection.getInputStream());
      OutputStream output = connection.getOutputStream();
      Message request = Message.read(input);
      while (request != null && handler.handle(request, output)) {
        request = Message.read(input);
      }
    } catch (IOException | RuntimeException broken) {
      // The other side has closed the connection, or has sent what is no request.
      return;
    }
  }
}
