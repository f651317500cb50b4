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

/** Passes the bytes of TCP connections to a port on, as far as links are not cut. */
final class Relay implements AutoCloseable {
  private static final int BUFFER_BYTES = 64 * 1024;
  private static final int BACKLOG = 200;

  private final Links links;
  private final String side;
  private final int target;
  private final Callers.Finder finder;
  private final ServerSocket server;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

  private Relay(Links links, String side, int target, Callers.Finder finder, ServerSocket server) {
    this.links = links;
    this.side = side;
    this.target = target;
    this.finder = finder;
    this.server = server;
  }

  static Relay start(Links links, String side, int target, Callers.Finder finder) {
    try {
      InetAddress loopback = InetAddress.getByName("127.0.0.1");
      ServerSocket server = new ServerSocket(FreePorts.next(), BACKLOG, loopback);
      Relay relay = new Relay(links, side, target, finder, server);
      thread("relay-" + target, relay::accept);
      return relay;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static void thread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return server.getLocalPort();
  }

  void sever(String one, String other) {
    connections.stream()
        .filter(connection -> connection.isBetween(one, other))
        .forEach(Connection::close);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Connection connection = new Connection(server.accept());
        connections.add(connection);
        thread("relay-forth-" + target, connection::carryForth);
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

  /** A caller's connection and the one to the target. */
  private final class Connection {
    private final Socket near;
    private final Socket far = new Socket();
    private volatile String caller = "";

    Connection(Socket near) {
      this.near = near;
    }

    boolean isBetween(String one, String other) {
      return side.equals(one) && caller.equals(other) || side.equals(other) && caller.equals(one);
    }

    void carryForth() {
      try {
        final byte[] head = readHead();
        links.awaitOpen(caller, side);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        far.connect(new InetSocketAddress("127.0.0.1", target));
        far.getOutputStream().write(head);
        thread("relay-back-" + target, () -> carry(far, near, side, caller));
        carry(near, far, caller, side);
      } catch (IOException broken) {
        close();
      }
    }

    private byte[] readHead() throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      Optional<String> found = Optional.empty();
      while (found.isEmpty()) {
        int count = near.getInputStream().read(buffer);
        if (count < 0) {
          throw new IOException("ended before the caller was known");
        }
        head.write(buffer, 0, count);
        found = finder.find(head.toByteArray());
      }
      caller = found.get();
      return head.toByteArray();
    }

    private void carry(Socket from, Socket to, String sender, String receiver) {
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

    /** Reads bytes, or the end, which must not get through a cut either. */
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
      closeQuietly(near);
      closeQuietly(far);
    }
  }
}
