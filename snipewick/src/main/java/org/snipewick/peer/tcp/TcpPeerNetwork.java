package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.AsyncTcpSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Peer network over TCP. Requests to a peer are sent on one connection that this instance opens,
 * and replies are received on the connection of their call. All sockets and handlers run on one
 * event loop. Thread-safe.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {
  /** Maximum size of a frame without its length prefix, in bytes. */
  public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  /**
   * Time that closing waits for one more iteration of the event loop, until which a closed port
   * still accepts connections.
   */
  private static final Duration CLOSE_DELAY = Duration.ofMillis(1);

  private static final long MAX_QUEUED_BYTES_PER_CONNECTION = 16L * 1024 * 1024;
  private static final Duration MAINTENANCE_PERIOD = Duration.ofSeconds(2);

  /** Maintenance periods without a sent message before an idle connection is closed. */
  private static final int MAX_IDLE_PERIODS = 15;

  private final InstanceId self;
  private final long incarnation;
  private final ConnectionContext context;
  private final Handlers handlers;
  private final Eventloop eventloop;
  private final Thread thread;
  private final Map<InstanceId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final Map<InstanceId, OutgoingConnection> outgoingConnections = new HashMap<>();
  private final Set<IncomingConnection> incomingConnections = new HashSet<>();

  /** Connections without a hello at the last maintenance; the next one closes those left. */
  private final Set<IncomingConnection> awaitingHello = new HashSet<>();

  private final Incarnations incarnations = new Incarnations();
  private final AtomicLong callIds = new AtomicLong();
  private SimpleServer server;
  private TimerService.Subscription maintenance;
  private int port;

  private TcpPeerNetwork(InstanceId self, long incarnation, ConnectionContext context) {
    this.self = requireNonNull(self, "self");
    this.incarnation = incarnation;
    this.context = context;
    this.handlers = new Handlers(context.log());
    this.eventloop =
        Eventloop.create().withEventloopFatalErrorHandler((defect, where) -> recordDefect(defect));
    eventloop.keepAlive(true);
    this.thread = new Thread(eventloop, "peers-" + self);
    thread.setDaemon(true);
  }

  /**
   * Starts a network that listens for peers.
   *
   * @param self this instance
   * @param incarnation number of this process, higher than that of each earlier process of the
   *     instance; either its start in milliseconds since the Unix epoch or a number from the store
   * @param bind address to listen on; with port 0 a free port is chosen
   * @param codec encodes and decodes frames
   * @param timer monotonic clock and timers
   * @param log event log
   * @param random source of jitter, used on the network's thread only
   * @return running network
   * @throws FailureException of {@link FailureType#SETTINGS_INVALID} if it cannot listen on the
   *     address
   */
  public static TcpPeerNetwork listen(
      InstanceId self,
      long incarnation,
      InetSocketAddress bind,
      PeerCodec codec,
      TimerService timer,
      EventLog log,
      RandomGenerator random) {
    FrameChannel.Limits limits =
        new FrameChannel.Limits(MAX_FRAME_BYTES, MAX_QUEUED_BYTES_PER_CONNECTION);
    TcpPeerNetwork network =
        new TcpPeerNetwork(
            self,
            incarnation,
            new ConnectionContext(
                codec, timer, log, random, limits, FrameChannel.Traffic.create()));
    network.start(bind);
    return network;
  }

  /**
   * Returns the port on which this network listens.
   *
   * @return TCP port
   */
  public int port() {
    return port;
  }

  /**
   * Returns the number of bytes passed to sockets since the start.
   *
   * @return bytes sent, length prefixes included
   */
  public long bytesSent() {
    return context.traffic().sentBytes().sum();
  }

  /**
   * Returns the number of bytes of frames received since the start.
   *
   * @return bytes received, length prefixes included
   */
  public long bytesReceived() {
    return context.traffic().receivedBytes().sum();
  }

  @Override
  public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout) {
    if (to.equals(self)) {
      return callLocally(message, timeout);
    }
    long callId = callIds.incrementAndGet();
    OutgoingFrame frame;
    try {
      frame = OutgoingFrame.call(callId, encode(new Frame.Call(callId, message)));
    } catch (FailureException failure) {
      return CompletableFuture.failedFuture(failure);
    }
    TimerService.Subscription expiry =
        context.timer().after(timeout, () -> expire(to, frame, timeout));
    eventloop.execute(() -> connectionTo(to).offer(frame));
    return frame.reply().whenComplete((reply, failure) -> expiry.cancel());
  }

  @Override
  public void send(InstanceId to, PeerMessage message) {
    if (to.equals(self)) {
      eventloop.execute(
          () -> {
            var ignored = handlers.handle(self, message);
          });
      return;
    }
    OutgoingFrame frame = OutgoingFrame.send(encode(new Frame.Send(message)));
    eventloop.execute(() -> connectionTo(to).offer(frame));
  }

  @Override
  public <T extends PeerMessage> void handle(
      Class<T> type, BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
    handlers.put(requireNonNull(type, "type"), requireNonNull(handler, "handler"));
  }

  @Override
  public void setAddress(InstanceId instance, InetSocketAddress address) {
    InetSocketAddress previous = addresses.put(instance, requireNonNull(address, "address"));
    if (!address.equals(previous)) {
      eventloop.execute(() -> resetConnection(instance));
    }
  }

  /** Closes all connections and stops the event loop. Calls to peers in flight fail. */
  @Override
  public void close() {
    maintenance.cancel();
    CompletableFuture<Void> closed = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          server.close();
          List.copyOf(incomingConnections).forEach(IncomingConnection::close);
          outgoingConnections.values().forEach(OutgoingConnection::close);
          eventloop.delay(CLOSE_DELAY, () -> closed.complete(null));
        });
    closed.join();
    eventloop.keepAlive(false);
    eventloop.execute(() -> {});
  }

  private void start(InetSocketAddress bind) {
    InetSocketAddress address = new InetSocketAddress(bind.getAddress(), portToBind(bind));
    port = address.getPort();
    server = SimpleServer.create(eventloop, this::accept).withListenAddress(address);
    thread.start();
    CompletableFuture<Void> listening = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          try {
            server.listen();
            listening.complete(null);
          } catch (IOException cause) {
            listening.completeExceptionally(cannotListen(address, cause));
          }
        });
    try {
      listening.join();
    } catch (java.util.concurrent.CompletionException failure) {
      eventloop.keepAlive(false);
      throw FailureException.unwrap(failure).toException();
    }
    maintenance =
        context.timer().every(MAINTENANCE_PERIOD, () -> eventloop.execute(this::maintain));
  }

  private static int portToBind(InetSocketAddress bind) {
    if (bind.getPort() != 0) {
      return bind.getPort();
    }
    try (ServerSocket socket = new ServerSocket(0, 1, bind.getAddress())) {
      return socket.getLocalPort();
    } catch (IOException cause) {
      throw cannotListen(bind, cause);
    }
  }

  private static FailureException cannotListen(InetSocketAddress address, IOException cause) {
    String detail = "cannot listen on " + address + ": " + cause.getMessage();
    return Failure.notRun(FailureType.SETTINGS_INVALID, detail).toException();
  }

  private void accept(AsyncTcpSocket socket) {
    IncomingConnection connection =
        new IncomingConnection(context, self, handlers, incarnations, socket, eventloop::execute);
    incomingConnections.add(connection);
    connection.start(() -> incomingConnections.remove(connection));
  }

  private void maintain() {
    awaitingHello.removeIf(IncomingConnection::hasReceivedHello);
    List.copyOf(awaitingHello).forEach(IncomingConnection::close);
    awaitingHello.clear();
    incomingConnections.stream()
        .filter(connection -> !connection.hasReceivedHello())
        .forEach(awaitingHello::add);
    outgoingConnections.values().forEach(connection -> connection.maintain(MAX_IDLE_PERIODS));
  }

  private OutgoingConnection connectionTo(InstanceId to) {
    return outgoingConnections.computeIfAbsent(
        to,
        peer ->
            new OutgoingConnection(
                context, () -> addresses.get(peer), new Frame.Hello(self, incarnation, peer)));
  }

  private void resetConnection(InstanceId instance) {
    OutgoingConnection connection = outgoingConnections.get(instance);
    if (connection != null) {
      connection.reset();
    }
  }

  private byte[] encode(Frame frame) {
    byte[] bytes = context.codec().encode(frame);
    if (bytes.length > MAX_FRAME_BYTES) {
      String detail = "message of " + bytes.length + " bytes is larger than the maximum frame size";
      throw Failure.notRun(FailureType.MALFORMED_FRAME, detail).toException();
    }
    return bytes;
  }

  private CompletableFuture<PeerMessage> callLocally(PeerMessage message, Duration timeout) {
    OutgoingFrame call = OutgoingFrame.call(0, new byte[0]);
    TimerService.Subscription expiry =
        context.timer().after(timeout, () -> call.fail("no reply within " + timeout));
    eventloop.execute(() -> handleLocally(call, message));
    return call.reply().whenComplete((reply, failure) -> expiry.cancel());
  }

  private void handleLocally(OutgoingFrame call, PeerMessage message) {
    if (!call.startWriting()) {
      return;
    }
    handlers
        .handle(self, message)
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                call.reply().completeExceptionally(failure);
              } else {
                call.reply().complete(reply);
              }
            });
  }

  private void expire(InstanceId to, OutgoingFrame frame, Duration timeout) {
    frame.fail(to + " did not reply within " + timeout);
    eventloop.execute(() -> connectionTo(to).removeCall(frame.callId()));
  }

  private void recordDefect(Throwable defect) {
    context.log().record(EventType.INTERNAL_ERROR, "", Map.of("detail", String.valueOf(defect)));
  }
}
