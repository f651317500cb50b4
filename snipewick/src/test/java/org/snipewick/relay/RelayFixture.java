package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.snipewick.event.EventLog;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.quarantine.Quarantine;
import org.snipewick.quota.QuotaBounds;
import org.snipewick.quota.TeamQuotas;
import org.snipewick.registry.EndpointRegistry;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.rollout.TrafficSplit;
import org.snipewick.route.PlanController;
import org.snipewick.route.RoutingPlan;
import org.snipewick.route.TeamQuota;
import org.snipewick.store.TableWriter;
import org.snipewick.time.Moment;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.HttpTransport;

/** Runs a relay on its own event loop; callers send and read raw bytes on sockets. */
final class RelayFixture implements AutoCloseable {
  static final HeaderNames NAMES =
      new HeaderNames(
          "Call-Id",
          "Left-Ms",
          "Key",
          "Team",
          "Only-At",
          "Tokens",
          "Parts",
          "Signature",
          "Load",
          "Not-Run",
          "Leaving",
          "Limit",
          "Last-Event-Id",
          Set.of("key", "team", "left-ms"),
          Set.of("only-"));

  private static final FailureDomain DOMAIN = FailureDomain.of("linz");

  /** Slots of each endpoint. */
  static final int SLOTS = 4;

  /** Room for one and a half of the largest bodies. */
  static final long MEMORY_BYTES = 12 * 1024 * 1024;

  private static final int READ_TIMEOUT_MILLIS = 5_000;

  private final Eventloop eventloop = EventloopTimerService.monotonicEventloop();
  private final EventloopTimerService timer = EventloopTimerService.of(eventloop);
  private final PlanController plans =
      PlanController.of(timer, EventLog.none(), Duration.ofMinutes(1));
  private final MemoryAccount memory =
      MemoryAccount.of(MEMORY_BYTES, task -> timer.after(Duration.ZERO, task));
  private final Thread thread = new Thread(eventloop, "relay");
  private final List<RegisteredEndpoint> endpoints = new ArrayList<>();
  private final double hedgeShare;
  private final int port;
  private int startedEndpoints;
  private RelayServer server;
  private EndpointRegistry registry;

  RelayFixture(RoutingPlan plan) {
    this(plan, EventLog.none());
  }

  RelayFixture(RoutingPlan plan, EventLog log) {
    this(plan, log, TrafficSplit.NONE, 0);
  }

  /** Starts a relay that hedges a share of the requests. */
  RelayFixture(RoutingPlan plan, EventLog log, double hedgeShare) {
    this(plan, log, TrafficSplit.NONE, hedgeShare);
  }

  /** Starts a relay that sends requests to the versions that a split chooses. */
  RelayFixture(RoutingPlan plan, EventLog log, TrafficSplit split) {
    this(plan, log, split, 0);
  }

  private RelayFixture(RoutingPlan plan, EventLog log, TrafficSplit split, double hedgeShare) {
    this.hedgeShare = hedgeShare;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = free.getLocalPort();
    } catch (IOException failure) {
      throw new java.io.UncheckedIOException(failure);
    }
    eventloop.keepAlive(true);
    thread.setDaemon(true);
    thread.start();
    runOnEventLoop(
        () -> {
          server =
              RelayServer.listen(
                  eventloop, new InetSocketAddress("127.0.0.1", port), dependencies(log, split));
          registry = EndpointRegistry.of(timer, EventLog.none(), server::updateEndpoints);
          server.onDepartureAnnounced(registry::onDepartureAnnounced);
          plans.accept(plan, Moment.now(timer));
        });
  }

  private RelayDependencies dependencies(EventLog log, TrafficSplit split) {
    return new RelayDependencies(
        DOMAIN,
        plans,
        TeamQuotas.of(
            InstanceId.of("linz.1"),
            new QuotaBounds(Duration.ofSeconds(8), 0, 0),
            team -> TeamQuota.UNLIMITED,
            timer,
            EventLog.none(),
            new MetricRegistry()),
        quarantine(),
        split,
        HttpTransport.of(eventloop, Duration.ofMillis(500), 1_000_000),
        memory,
        NAMES,
        new RelayDependencies.RetryBudgetSettings(0.2, 50, Duration.ofSeconds(10), hedgeShare),
        timer,
        log,
        new MetricRegistry(),
        new SplittableRandom(1));
  }

  private Quarantine quarantine() {
    TableWriter table = (name, key, value) -> CompletableFuture.completedFuture(1L);
    return Quarantine.of(
        InstanceId.of("linz.1"), table, timer, EventLog.none(), new SplittableRandom(1));
  }

  /** Sets the endpoints of a pool; the relay prefers them in the given order. */
  void setEndpoints(String pool, ScriptedEndpoint... scripted) {
    endpoints.clear();
    addEndpoints(pool, scripted);
  }

  /** Adds endpoints of a pool to those that were set before. */
  void addEndpoints(String pool, ScriptedEndpoint... scripted) {
    for (ScriptedEndpoint added : scripted) {
      endpoints.add(endpoint(pool, "e" + endpoints.size(), added.port()));
    }
    List<RegisteredEndpoint> listed = List.copyOf(endpoints);
    runOnEventLoop(() -> registry.replaceAll(listed));
  }

  /** Sets the only endpoint of a pool, which counts as started after those that were set before. */
  void setStartedEndpoint(String pool, ScriptedEndpoint scripted) {
    startedEndpoints++;
    RegisteredEndpoint listed =
        new RegisteredEndpoint(
            EndpointId.of("e0"),
            1 + startedEndpoints,
            PoolName.of(pool),
            DOMAIN,
            "127.0.0.1",
            scripted.port(),
            4,
            false);
    runOnEventLoop(() -> registry.replaceAll(List.of(listed)));
  }

  /** Sets two endpoints of a pool; no process listens on the port of the preferred one. */
  void setEndpointsWithUnreachableFirst(String pool, ScriptedEndpoint reachable)
      throws IOException {
    int unreachablePort;
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      unreachablePort = closed.getLocalPort();
    }
    List<RegisteredEndpoint> listed =
        List.of(endpoint(pool, "e0", unreachablePort), endpoint(pool, "e1", reachable.port()));
    runOnEventLoop(() -> registry.replaceAll(listed));
  }

  /** Sets the endpoint of a pool by its port. */
  void setEndpointPort(String pool, int endpointPort) {
    List<RegisteredEndpoint> listed = List.of(endpoint(pool, "e0", endpointPort));
    runOnEventLoop(() -> registry.replaceAll(listed));
  }

  private static RegisteredEndpoint endpoint(String pool, String id, int port) {
    return new RegisteredEndpoint(
        EndpointId.of(id), 1, PoolName.of(pool), DOMAIN, "127.0.0.1", port, SLOTS, false);
  }

  /** Runs a task that throws on the event loop of the relay. */
  void throwOnEventLoop(Error thrown) {
    eventloop.execute(
        () -> {
          throw thrown;
        });
  }

  /** Waits until the connection of the only request of an endpoint has ended. */
  void awaitEnding(ScriptedEndpoint endpoint) {
    long endNanos = System.nanoTime() + Duration.ofSeconds(READ_TIMEOUT_MILLIS / 1000).toNanos();
    while (endpoint.endings().isEmpty()) {
      if (System.nanoTime() - endNanos > 0) {
        throw new AssertionError("connection to the endpoint was not closed");
      }
      java.util.concurrent.locks.LockSupport.parkNanos(10_000_000);
    }
  }

  /** Waits until no bytes are kept for callers and endpoints any more. */
  void awaitNoKeptBytes() {
    long endNanos = System.nanoTime() + Duration.ofMillis(READ_TIMEOUT_MILLIS).toNanos();
    AtomicLong heldBytes = new AtomicLong(1);
    while (heldBytes.get() > 0) {
      runOnEventLoop(() -> heldBytes.set(memory.heldBytes()));
      if (System.nanoTime() - endNanos > 0) {
        throw new AssertionError("bytes are still kept");
      }
      java.util.concurrent.locks.LockSupport.parkNanos(10_000_000);
    }
  }

  /** Returns the number of requests in flight at each endpoint that has any. */
  Map<EndpointId, Integer> inFlight() {
    Map<EndpointId, Integer> requests = new HashMap<>();
    runOnEventLoop(() -> requests.putAll(server.inFlightByEndpoint()));
    return requests;
  }

  void beginStop(Duration timeLeft) {
    runOnEventLoop(() -> server.beginStop(timeLeft));
  }

  void endAllCalls() {
    runOnEventLoop(() -> server.endAllCalls());
  }

  void refuseNewRequests() {
    runOnEventLoop(() -> server.refuseNewRequests());
  }

  /** Sends a request on a new connection and returns what {@link #read} returns. */
  String exchange(String request) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(request.getBytes(ISO_8859_1));
      return read(socket, "\r\n\r\n");
    }
  }

  Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  /**
   * Reads one response. Appends "&lt;end&gt;" if the connection is closed before its end, and
   * "&lt;silent&gt;" if no byte arrives for {@link #READ_TIMEOUT_MILLIS}.
   */
  static String read(Socket socket, String endOfHead) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    InputStream input = socket.getInputStream();
    try {
      while (!isComplete(received.toString(ISO_8859_1), endOfHead)) {
        int next = input.read();
        if (next < 0) {
          return received.toString(ISO_8859_1) + "<end>";
        }
        received.write(next);
      }
    } catch (SocketTimeoutException timedOut) {
      return received.toString(ISO_8859_1) + "<silent>";
    }
    return received.toString(ISO_8859_1);
  }

  private static boolean isComplete(String received, String endOfHead) {
    int headEnd = received.indexOf(endOfHead);
    if (headEnd < 0) {
      return false;
    }
    if (received.substring(0, headEnd).contains("chunked")) {
      return received.endsWith("\r\n0\r\n\r\n");
    }
    int lengthField = received.indexOf("Content-Length: ");
    if (lengthField < 0) {
      return false;
    }
    int lineEnd = received.indexOf('\r', lengthField);
    int length =
        Integer.parseInt(received.substring(lengthField + "Content-Length: ".length(), lineEnd));
    return received.length() >= headEnd + endOfHead.length() + length;
  }

  private void runOnEventLoop(io.activej.common.function.RunnableEx task) {
    CompletableFuture<Void> done = eventloop.submit(task);
    done.join();
  }

  @Override
  public void close() {
    runOnEventLoop(() -> server.close());
    eventloop.execute(
        () -> {
          eventloop.keepAlive(false);
          eventloop.breakEventloop();
        });
  }
}
