package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.EndpointId;
import org.snipewick.registry.EndpointRegistry;
import org.snipewick.registry.RegisteredEndpoint;
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
    changes.removedKeys().forEach(key -> removed.add(EndpointId.of(key)));
    for (TableRow row : changes.written()) {
      Optional<RegisteredEndpoint> endpoint = decode(row);
      endpoint.ifPresentOrElse(changed::add, () -> removed.add(EndpointId.of(row.key())));
    }
    registry.applyChanges(changed, removed);
  }

  @Override
  public void onUnavailable() {
    registry.onListUnavailable();
  }

  @Override
  public void onAvailableAgain() {
    registry.onListAvailableAgain();
  }

  private Optional<RegisteredEndpoint> decode(TableRow row) {
    try {
      return Optional.of(EndpointCodec.decode(row));
    } catch (IOException | IllegalArgumentException malformed) {
      events.record(
          EventType.ROW_MALFORMED,
          row.key(),
          Map.of("rowVersion", row.version(), "detail", String.valueOf(malformed.getMessage())));
      return Optional.empty();
    }
  }
}
