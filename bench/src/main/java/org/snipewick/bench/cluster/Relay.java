package org.snipewick.bench.cluster;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards the bytes of TCP connections to a port, except while their link is cut. */
final class Relay implements AutoCloseable {
  private static final int BUFFER_BYTES = 64 * 1024;
  private static final int ACCEPT_BACKLOG = 200;

  private final Links links;
  private final String side;
  private final int targetPort;
  private final CallerDomains.DomainFinder finder;
  private final ServerSocket server;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

  private Relay(
      Links links,
      String side,
      int targetPort,
      CallerDomains.DomainFinder finder,
      ServerSocket server) {
    this.links = links;
    this.side = side;
    this.targetPort = targetPort;
    this.finder = finder;
    this.server = server;
  }

  static Relay start(Links links, String side, int targetPort, CallerDomains.DomainFinder finder) {
    try {
      InetAddress loopback = InetAddress.getByName("127.0.0.1");
      ServerSocket server = new ServerSocket(FreePorts.next(), ACCEPT_BACKLOG, loopback);
      Relay relay = new Relay(links, side, targetPort, finder, server);
      startThread("relay-" + targetPort, relay::accept);
      return relay;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static void startThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return server.getLocalPort();
  }

  void closeConnections(String one, String other) {
    connections.stream()
        .filter(connection -> connection.isBetween(one, other))
        .forEach(Connection::close);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Connection connection = new Connection(server.accept());
        connections.add(connection);
        startThread("relay-forth-" + targetPort, connection::forwardToTarget);
      } catch (IOException closed) {
        continue;
      }
    }
  }

  @Override
  public void close() {
    closeQuietly(server);
    connections.forEach(Connection::close);
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception alreadyBroken) {
      return;
    }
  }

  /** A connection of a caller and the connection to the target. */
  private final class Connection {
    private final Socket callerSocket;
    private final Socket targetSocket = new Socket();
    private volatile String callerDomain = "";

    Connection(Socket callerSocket) {
      this.callerSocket = callerSocket;
    }

    boolean isBetween(String one, String other) {
      return side.equals(one) && callerDomain.equals(other)
          || side.equals(other) && callerDomain.equals(one);
    }

    void forwardToTarget() {
      try {
        final byte[] head = readHead();
        links.awaitOpen(callerDomain, side);
        callerSocket.setTcpNoDelay(true);
        targetSocket.setTcpNoDelay(true);
        targetSocket.connect(new InetSocketAddress("127.0.0.1", targetPort));
        targetSocket.getOutputStream().write(head);
        startThread(
            "relay-back-" + targetPort,
            () -> forward(targetSocket, callerSocket, side, callerDomain));
        forward(callerSocket, targetSocket, callerDomain, side);
      } catch (IOException broken) {
        close();
      }
    }

    /** Reads from the caller until its failure domain is found, and returns the bytes read. */
    private byte[] readHead() throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      Optional<String> found = Optional.empty();
      while (found.isEmpty()) {
        int count = callerSocket.getInputStream().read(buffer);
        if (count < 0) {
          throw new IOException(
              "connection ended before the failure domain of the caller was known");
        }
        head.write(buffer, 0, count);
        found = finder.find(head.toByteArray());
      }
      callerDomain = found.get();
      return head.toByteArray();
    }

    private void forward(Socket from, Socket to, String sender, String receiver) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream input = from.getInputStream();
        int count = read(input, buffer, sender, receiver);
        while (count >= 0) {
          to.getOutputStream().write(buffer, 0, count);
          count = read(input, buffer, sender, receiver);
        }
        to.shutdownOutput();
      } catch (IOException broken) {
        close();
      }
    }

    /**
     * Reads bytes or the end of the stream, which must not pass a cut either; waits while the link
     * is cut, and throws if the cut closes connections.
     */
    private int read(InputStream input, byte[] buffer, String sender, String receiver)
        throws IOException {
      try {
        return input.read(buffer);
      } finally {
        links.awaitOpen(sender, receiver);
      }
    }

    void close() {
      connections.remove(this);
      closeQuietly(callerSocket);
      closeQuietly(targetSocket);
    }
  }
}
