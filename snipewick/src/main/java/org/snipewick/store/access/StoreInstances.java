package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.TableRow;

/** The list of instances, from the tables in which endpoints and entry instances are registered. */
public final class StoreInstances implements InstanceList {
  private final ReplicatedTable endpoints;
  private final ReplicatedTable entries;
  private final StoreAdapter adapter;
  private final EventLog events;

  StoreInstances(StoreAdapter adapter, StoreCalls calls, Reads reads, EventLog events) {
    this.adapter = requireNonNull(adapter, "adapter");
    this.events = requireNonNull(events, "events");
    endpoints = new ReplicatedTable(adapter.endpointTable(), calls, reads);
    entries = new ReplicatedTable(adapter.instanceTable(), calls, reads);
  }

  /** Decodes a row of one of the tables. */
  @FunctionalInterface
  private interface Decoder {
    ListedInstance decode(TableRow row) throws IOException;
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return entries()
        .thenCombine(
            endpoints(), (some, others) -> Stream.concat(some.stream(), others.stream()).toList());
  }

  @Override
  public CompletableFuture<List<ListedInstance>> entries() {
    return entries.rows().thenApply(rows -> decode(rows, adapter::instance));
  }

  @Override
  public CompletableFuture<List<ListedInstance>> endpointsIn(FailureDomain domain) {
    requireNonNull(domain, "domain");
    return endpoints()
        .thenApply(all -> all.stream().filter(each -> each.isEndpointIn(domain)).toList());
  }

  private CompletableFuture<List<ListedInstance>> endpoints() {
    return endpoints.rows().thenApply(rows -> decode(rows, adapter::endpoint));
  }

  private List<ListedInstance> decode(List<TableRow> rows, Decoder decoder) {
    return rows.stream().flatMap(row -> decode(row, decoder).stream()).toList();
  }

  /** A row that cannot be read names no instance; the others hold. */
  private Optional<ListedInstance> decode(TableRow row, Decoder decoder) {
    try {
      return Optional.of(decoder.decode(row));
    } catch (IOException | IllegalArgumentException malformed) {
      events.record(
          EventType.ROW_MALFORMED,
          row.key(),
          Map.of("rowVersion", row.version(), "detail", String.valueOf(malformed.getMessage())));
      return Optional.empty();
    }
  }
}
