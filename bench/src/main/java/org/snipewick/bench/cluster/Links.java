package org.snipewick.bench.cluster;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP links between the processes of a cluster: direct, or through relays that a test cuts and
 * heals by failure domain.
 */
public final class Links implements AutoCloseable {
  /** Name of the platform as a side of a link. */
  public static final String PLATFORM = "platform";

  private final boolean relayed;
  private final Map<Direction, Cut> cuts = new HashMap<>();
  private final Map<String, Relay> platformRelays = new HashMap<>();
  private final Set<Relay> relays = ConcurrentHashMap.newKeySet();

  private Links(boolean relayed) {
    this.relayed = relayed;
  }

  /** How the bytes of one direction are cut off. */
  private enum Cut {
    /** Bytes are held back. */
    SILENT,
    /** Connections are closed. */
    CLOSING
  }

  private record Direction(String from, String to) {}

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
   * Holds back all bytes between two sides: connections, also new ones, stay open and hang. What is
   * sent meanwhile arrives after {@link #heal}, as it does from a sender that retransmits.
   *
   * @param one failure domain
   * @param other another failure domain, or {@link #PLATFORM}
   */
  public void cut(String one, String other) {
    putCut(one, other, Cut.SILENT);
    putCut(other, one, Cut.SILENT);
  }

  /**
   * Holds back all bytes from one side to another, but not those in the opposite direction.
   *
   * @param from failure domain, or {@link #PLATFORM}
   * @param to another of them
   */
  public void cutOneWay(String from, String to) {
    putCut(from, to, Cut.SILENT);
  }

  /**
   * Closes all connections between two sides, also new ones.
   *
   * @param one failure domain
   * @param other another failure domain, or {@link #PLATFORM}
   */
  public void cutAndClose(String one, String other) {
    putCut(one, other, Cut.CLOSING);
    putCut(other, one, Cut.CLOSING);
    relays.forEach(relay -> relay.closeConnections(one, other));
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
    cuts.remove(new Direction(one, other));
    cuts.remove(new Direction(other, one));
    notifyAll();
  }

  private synchronized void putCut(String from, String to, Cut cut) {
    if (!relayed) {
      throw new IllegalStateException("direct links cannot be cut");
    }
    cuts.put(new Direction(from, to), cut);
    notifyAll();
  }

  /** Waits while bytes from one side to another are held back; throws if connections are closed. */
  synchronized void awaitOpen(String from, String to) throws IOException {
    if (from.equals(to)) {
      return;
    }
    Direction direction = new Direction(from, to);
    while (cuts.get(direction) == Cut.SILENT) {
      try {
        wait();
      } catch (InterruptedException failure) {
        throw new IOException(failure);
      }
    }
    if (cuts.containsKey(direction)) {
      throw new IOException("the link from " + from + " to " + to + " is cut");
    }
  }

  /** Returns the port by which other instances reach an instance. */
  int portToInstance(String domain, int port) {
    return relayed ? startRelay(domain, port, CallerDomains::fromHello).port() : port;
  }

  /** Returns the port by which instances reach an endpoint. */
  int portToEndpoint(String domain, int port) {
    return relayed
        ? startRelay(domain, port, head -> CallerDomains.fromHttp(head, domain)).port()
        : port;
  }

  /** Returns the port by which the instances of a failure domain reach the platform. */
  synchronized int portToPlatform(String domain, int port) {
    if (!relayed) {
      return port;
    }
    return platformRelays
        .computeIfAbsent(
            domain, caller -> startRelay(PLATFORM, port, head -> CallerDomains.fixed(caller)))
        .port();
  }

  private Relay startRelay(String side, int port, CallerDomains.DomainFinder finder) {
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
