package org.snipewick.feed;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.snipewick.event.EventLog;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.TableFeed;
import org.snipewick.store.TableReader;
import org.snipewick.time.TimerService;

/**
 * Feeds of the tables of an instance, which all read the store until the instance has joined a
 * fleet that is large enough for shared reads. Not thread-safe: all calls must run on one thread.
 */
public final class SharedReads {
  private final TableReader store;
  private final TimerService timer;
  private final FeedMetrics metrics;
  private final ReaderPeers peers;
  private final Map<String, ServedTable> tables = new HashMap<>();

  private SharedReads(
      TableReader store, TimerService timer, EventLog events, MetricRegistry registry) {
    this.store = requireNonNull(store, "store");
    this.timer = requireNonNull(timer, "timer");
    this.metrics = new FeedMetrics(requireNonNull(registry, "registry"));
    this.peers = new ReaderPeers(timer, requireNonNull(events, "events"));
  }

  /**
   * Creates feeds that read the store.
   *
   * @param store access to the store
   * @param timer source of time
   * @param events log of the selected readers and of those that do not serve as agreed
   * @param registry receives the metrics
   * @return feeds of an instance without peers
   */
  public static SharedReads of(
      TableReader store, TimerService timer, EventLog events, MetricRegistry registry) {
    return new SharedReads(store, timer, events, registry);
  }

  /**
   * Returns the feed of a table, which keeps the pause of the schedule itself.
   *
   * @param table name of the table, for which there is no feed yet
   * @param schedule times of the reads
   * @return feed for one mirror
   */
  public TableFeed feed(String table, FeedSchedule schedule) {
    ServedTable served = new ServedTable(timer, metrics);
    served.setServing(peers.isReader());
    if (tables.putIfAbsent(table, served) != null) {
      throw new IllegalArgumentException("table has a feed already: " + table);
    }
    return new SharedTableFeed(
        table, schedule, TableFeed.of(store, table, timer), peers, served, timer, metrics);
  }

  /**
   * Sets the connections to the peers, and the handler of their queries.
   *
   * @param network connections to peers
   * @param executor executor that runs tasks on the thread of the feeds
   */
  public void join(PeerNetwork network, Executor executor) {
    network.handle(
        FeedMessages.Query.class,
        (from, query) -> {
          CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
          executor.execute(() -> receive(from, query, reply));
          return reply;
        });
    peers.connect(network, executor);
  }

  private void receive(
      InstanceId from, FeedMessages.Query query, CompletableFuture<PeerMessage> reply) {
    ServedTable served = tables.get(query.table());
    if (served == null) {
      reply.complete(FeedMessages.Reply.of(FeedMessages.Status.NOT_READER));
    } else {
      served.receive(from, query).thenAccept(reply::complete);
    }
  }

  /**
   * Selects the readers.
   *
   * @param self this instance
   * @param members all other registered instances
   */
  public void setPeers(FleetMember self, List<FleetMember> members) {
    peers.setSelection(ReaderSelection.of(self, members));
    tables.values().forEach(table -> table.setServing(peers.isReader()));
  }
}
