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
 * Peer network over TCP. Each peer is reached over one connection that this side opens; answers
 * come back on the connection of their call. All sockets and handlers run on one event loop.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {
  /** Largest frame, in bytes. */
  public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  /** A closed port takes connections until the event loop has turned once more. */
  private static final Duration NEXT_TURN = Duration.ofMillis(1);

  private static final long MAX_QUEUED_BYTES = 16L * 1024 * 1024;
  private static final Duration MAINTENANCE_PERIOD = Duration.ofSeconds(2);
  private static final int MAX_IDLE_ROUNDS = 15;

  private final InstanceId self;
  private final long incarnation;
  private final LinkContext context;
  private final Handlers handlers;
  private final Eventloop eventloop;
  private final Thread thread;
  private final Map<InstanceId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final Map<InstanceId, PeerLink> links = new HashMap<>();
  private final Set<IncomingLink> incoming = new HashSet<>();
  private final Set<IncomingLink> ungreeted = new HashSet<>();
  private final Incarnations incarnations = new Incarnations();
  private final AtomicLong callIds = new AtomicLong();
  private SimpleServer server;
  private TimerService.Subscription maintenance;
  private int port;

  private TcpPeerNetwork(InstanceId self, long incarnation, LinkContext context) {
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
   * @param self own instance
   * @param incarnation start of this process, in milliseconds since the Unix epoch
   * @param bind address to listen on; port 0 picks a free one
   * @param codec maps messages to bytes
   * @param timer clock and timer of time-outs
   * @param log event log
   * @param random source of jitter; used by the network's thread only
   * @return running network
   * @throws FailureException of {@link FailureType#SETTINGS_INVALID} if it cannot listen there
   */
  public static TcpPeerNetwork listen(
      InstanceId self,
      long incarnation,
      InetSocketAddress bind,
      PeerCodec codec,
      TimerService timer,
      EventLog log,
      RandomGenerator random) {
    FrameChannel.Limits limits = new FrameChannel.Limits(MAX_FRAME_BYTES, MAX_QUEUED_BYTES);
    TcpPeerNetwork network =
        new TcpPeerNetwork(
            self,
            incarnation,
            new LinkContext(codec, timer, log, random, limits, FrameChannel.Traffic.create()));
    network.start(bind);
    return network;
  }

  /**
   * Returns the port that is listened on.
   *
   * @return TCP port
   */
  public int port() {
    return port;
  }

  /**
   * Counts what was given to sockets.
   *
   * @return bytes since the start
   */
  public long bytesSent() {
    return context.traffic().sent().sum();
  }

  /**
   * Counts what was received.
   *
   * @return bytes of frames since the start
   */
  public long bytesReceived() {
    return context.traffic().received().sum();
  }

  @Override
  public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout) {
    if (to.equals(self)) {
      return callSelf(message, timeout);
    }
    long callId = callIds.incrementAndGet();
    Outgoing frame;
    try {
      frame = Outgoing.call(callId, encode(new Frame.Call(callId, message)));
    } catch (FailureException failure) {
      return CompletableFuture.failedFuture(failure);
    }
    TimerService.Subscription expiry =
        context.timer().after(timeout, () -> expire(to, frame, timeout));
    eventloop.execute(() -> link(to).offer(frame));
    return frame.answer().whenComplete((answer, failure) -> expiry.cancel());
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
    Outgoing frame = Outgoing.send(encode(new Frame.Send(message)));
    eventloop.execute(() -> link(to).offer(frame));
  }

  @Override
  public <T extends PeerMessage> void handle(
      Class<T> type, BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
    handlers.put(requireNonNull(type, "type"), requireNonNull(handler, "handler"));
  }

  @Override
  public void locate(InstanceId instance, InetSocketAddress address) {
    InetSocketAddress before = addresses.put(instance, requireNonNull(address, "address"));
    if (!address.equals(before)) {
      eventloop.execute(() -> reset(instance));
    }
  }

  /** Closes all connections; calls that were not answered fail. */
  @Override
  public void close() {
    maintenance.cancel();
    CompletableFuture<Void> closed = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          server.close();
          List.copyOf(incoming).forEach(IncomingLink::close);
          links.values().forEach(PeerLink::close);
          eventloop.delay(NEXT_TURN, () -> closed.complete(null));
        });
    closed.join();
    eventloop.keepAlive(false);
    eventloop.execute(() -> {});
  }

  private void start(InetSocketAddress bind) {
    InetSocketAddress address = new InetSocketAddress(bind.getAddress(), freePort(bind));
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

  private static int freePort(InetSocketAddress bind) {
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
    IncomingLink link =
        new IncomingLink(context, self, handlers, incarnations, socket, eventloop::execute);
    incoming.add(link);
    link.start(() -> incoming.remove(link));
  }

  private void maintain() {
    ungreeted.removeIf(IncomingLink::isGreeted);
    List.copyOf(ungreeted).forEach(IncomingLink::close);
    ungreeted.clear();
    incoming.stream().filter(link -> !link.isGreeted()).forEach(ungreeted::add);
    links.values().forEach(link -> link.maintain(MAX_IDLE_ROUNDS));
  }

  private PeerLink link(InstanceId to) {
    return links.computeIfAbsent(
        to,
        peer ->
            new PeerLink(
                context, () -> addresses.get(peer), new Frame.Hello(self, incarnation, peer)));
  }

  private void reset(InstanceId instance) {
    PeerLink link = links.get(instance);
    if (link != null) {
      link.reset();
    }
  }

  private byte[] encode(Frame frame) {
    byte[] bytes = context.codec().encode(frame);
    if (bytes.length > MAX_FRAME_BYTES) {
      String detail = "message of " + bytes.length + " bytes is larger than a frame";
      throw Failure.notRun(FailureType.MALFORMED_FRAME, detail).toException();
    }
    return bytes;
  }

  private CompletableFuture<PeerMessage> callSelf(PeerMessage message, Duration timeout) {
    Outgoing call = Outgoing.call(0, new byte[0]);
    TimerService.Subscription expiry =
        context.timer().after(timeout, () -> call.fail("no answer within " + timeout));
    eventloop.execute(() -> answerSelf(call, message));
    return call.answer().whenComplete((answer, failure) -> expiry.cancel());
  }

  private void answerSelf(Outgoing call, PeerMessage message) {
    if (!call.startWriting()) {
      return;
    }
    handlers
        .handle(self, message)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                call.answer().completeExceptionally(failure);
              } else {
                call.answer().complete(answer);
              }
            });
  }

  private void expire(InstanceId to, Outgoing frame, Duration timeout) {
    frame.fail(to + " did not answer within " + timeout);
    eventloop.execute(() -> link(to).forget(frame.callId()));
  }

  private void recordDefect(Throwable defect) {
    context.log().record(EventType.INTERNAL_ERROR, "", Map.of("detail", String.valueOf(defect)));
  }
}
