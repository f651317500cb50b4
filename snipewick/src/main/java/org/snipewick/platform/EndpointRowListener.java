package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.EndpointId;
import org.snipewick.registry.EndpointRegistry;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;

/**
 * Passes the rows of endpoints to the registry. An endpoint whose row is malformed is treated as
 * not listed.
 */
final class EndpointRowListener implements MirrorListener {
  private final EndpointRegistry registry;
  private final EventLog events;

  EndpointRowListener(EndpointRegistry registry, EventLog events) {
    this.registry = requireNonNull(registry, "registry");
    this.events = requireNonNull(events, "events");
  }

  @Override
  public void onRows(List<TableRow> rows, Moment sentAt) {
    registry.replaceAll(rows.stream().map(this::decode).flatMap(Optional::stream).toList());
  }

  @Override
  public void onChanges(RowChanges.Delta changes, Moment sentAt) {
    List<RegisteredEndpoint> changed = new ArrayList<>();
    List<EndpointId> removed = new ArrayList<>();
    changes.removedKeys().forEach(key -> endpointOf(key).ifPresent(removed::add));
    for (TableRow row : changes.written()) {
      decode(row)
          .ifPresentOrElse(changed::add, () -> endpointOf(row.key()).ifPresent(removed::add));
    }
    registry.applyChanges(changed, removed);
  }

  @Override
  public void onNewEra() {
    registry.onListRestored();
  }

  @Override
  public void onUnavailable() {
    registry.onListUnavailable();
  }

  @Override
  public void onAvailableAgain() {
    registry.onListAvailableAgain();
  }

  /** Returns the endpoint of a key; empty if the key cannot name one. */
  private static Optional<EndpointId> endpointOf(String key) {
    try {
      return Optional.of(EndpointId.of(key));
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }

  private Optional<RegisteredEndpoint> decode(TableRow row) {
    try {
      return Optional.of(EndpointCodec.decode(row));
    } catch (IOException | RuntimeException malformed) {
      events.record(EventType.ROW_MALFORMED, row.key(), MalformedRow.details(row, malformed));
      return Optional.empty();
    }
  }
}
