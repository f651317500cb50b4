package org.snipewick.bench.cluster;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * How the processes of a cluster reach each other over TCP: directly, or through relays that a test
 * cuts and heals by failure domain.
 */
public final class Links implements AutoCloseable {
  /** Name of the platform where a failure domain is cut off from it. */
  public static final String PLATFORM = "platform";

  private final boolean relayed;
  private final Map<Way, Cut> cuts = new HashMap<>();
  private final Map<String, Relay> platforms = new HashMap<>();
  private final Set<Relay> relays = ConcurrentHashMap.newKeySet();

  private Links(boolean relayed) {
    this.relayed = relayed;
  }

  private enum Cut {
    SILENT,
    CLOSING
  }

  private record Way(String from, String to) {}

  /**
   * Returns links without relays, which cannot be cut.
   *
   * @return links
   */
  public static Links direct() {
    return new Links(false);
  }

  /**
   * Returns links through relays in this process.
   *
   * @return links, none of them cut
   */
  public static Links relayed() {
    return new Links(true);
  }

  /**
   * Holds back all bytes between two sides: connections stay open and hang, new ones too. What was
   * sent meanwhile arrives after {@link #heal}, as it does from a sender that retransmits.
   *
   * @param one failure domain
   * @param other another failure domain, or {@link #PLATFORM}
   */
  public void cut(String one, String other) {
    put(one, other, Cut.SILENT);
    put(other, one, Cut.SILENT);
  }

  /**
   * Holds back all bytes from one side to another, but not those on the way back.
   *
   * @param from failure domain, or {@link #PLATFORM}
   * @param to another of them
   */
  public void cutOneWay(String from, String to) {
    put(from, to, Cut.SILENT);
  }

  /**
   * Closes all connections between two sides, new ones too.
   *
   * @param one failure domain
   * @param other another failure domain, or {@link #PLATFORM}
   */
  public void sever(String one, String other) {
    put(one, other, Cut.CLOSING);
    put(other, one, Cut.CLOSING);
    relays.forEach(relay -> relay.sever(one, other));
  }

  /** Ends all cuts. */
  public synchronized void heal() {
    cuts.clear();
    notifyAll();
  }

  /**
   * Ends the cut between two sides, if there is one.
   *
   * @param one failure domain
   * @param other another failure domain, or {@link #PLATFORM}
   */
  public synchronized void heal(String one, String other) {
    cuts.remove(new Way(one, other));
    cuts.remove(new Way(other, one));
    notifyAll();
  }

  private synchronized void put(String from, String to, Cut cut) {
    if (!relayed) {
      throw new IllegalStateException("direct links cannot be cut");
    }
    cuts.put(new Way(from, to), cut);
    notifyAll();
  }

  /** Waits while the way from one side to another is silently cut. */
  synchronized void awaitOpen(String from, String to) throws IOException {
    if (from.equals(to)) {
      return;
    }
    Way way = new Way(from, to);
    while (cuts.get(way) == Cut.SILENT) {
      try {
        wait();
      } catch (InterruptedException failure) {
        throw new IOException(failure);
      }
    }
    if (cuts.containsKey(way)) {
      throw new IOException(from + " is severed from " + to);
    }
  }

  /** Returns the port by which other instances reach an instance. */
  int toInstance(String domain, int port) {
    return relayed ? relay(domain, port, Callers::ofHello).port() : port;
  }

  /** Returns the port by which instances reach an endpoint. */
  int toEndpoint(String domain, int port) {
    return relayed ? relay(domain, port, head -> Callers.ofHttp(head, domain)).port() : port;
  }

  /** Returns the port by which the instances of a failure domain reach the platform. */
  synchronized int toPlatform(String domain, int port) {
    if (!relayed) {
      return port;
    }
    return platforms
        .computeIfAbsent(domain, caller -> relay(PLATFORM, port, head -> Callers.fixed(caller)))
        .port();
  }

  private Relay relay(String side, int port, Callers.Finder finder) {
    Relay relay = Relay.start(this, requireNonNull(side, "side"), port, finder);
    relays.add(relay);
    return relay;
  }

  @Override
  public void close() {
    relays.forEach(Relay::close);
    heal();
  }
}
