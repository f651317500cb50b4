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

/** List of instances, read from the tables in which endpoints and entry instances register. */
public final class StoreInstances implements InstanceList {
  private final CachedTable endpointTable;
  private final CachedTable entryInstanceTable;
  private final StoreAdapter adapter;
  private final EventLog events;

  StoreInstances(StoreAdapter adapter, StoreCalls calls, ReadCoalescer reads, EventLog events) {
    this.adapter = requireNonNull(adapter, "adapter");
    this.events = requireNonNull(events, "events");
    endpointTable = new CachedTable(adapter.endpointTable(), calls, reads);
    entryInstanceTable = new CachedTable(adapter.entryInstanceTable(), calls, reads);
  }

  /** Decodes a row of one of the tables. */
  @FunctionalInterface
  private interface Decoder {
    ListedInstance decode(TableRow row) throws IOException;
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return entryInstances()
        .thenCombine(
            endpoints(),
            (entryInstances, endpoints) ->
                Stream.concat(entryInstances.stream(), endpoints.stream()).toList());
  }

  @Override
  public CompletableFuture<List<ListedInstance>> entryInstances() {
    return entryInstanceTable.rows().thenApply(rows -> decode(rows, adapter::decodeEntryInstance));
  }

  @Override
  public CompletableFuture<List<ListedInstance>> endpointsIn(FailureDomain domain) {
    requireNonNull(domain, "domain");
    return endpoints()
        .thenApply(all -> all.stream().filter(instance -> instance.isEndpointIn(domain)).toList());
  }

  private CompletableFuture<List<ListedInstance>> endpoints() {
    return endpointTable.rows().thenApply(rows -> decode(rows, adapter::decodeEndpoint));
  }

  private List<ListedInstance> decode(List<TableRow> rows, Decoder decoder) {
    return rows.stream().flatMap(row -> decode(row, decoder).stream()).toList();
  }

  /** Decodes a row; logs and skips one that is malformed, so that the others stay usable. */
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
