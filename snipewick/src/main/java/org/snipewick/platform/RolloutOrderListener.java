package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.PoolName;
import org.snipewick.rollout.RolloutOrder;
import org.snipewick.rollout.Rollouts;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;

/**
 * Decodes the operators' orders of rollouts. A malformed order is skipped; the one before it stays
 * in force.
 */
final class RolloutOrderListener implements MirrorListener {
  private static final String KEY_PREFIX = "rollout/";
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MAX_SECONDS = 1e6;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Rollouts rollouts;
  private final EventLog events;

  /** Whether the store was restored and its rows have not been read since. */
  private boolean isRestored;

  RolloutOrderListener(Rollouts rollouts, EventLog events) {
    this.rollouts = requireNonNull(rollouts, "rollouts");
    this.events = requireNonNull(events, "events");
  }

  @Override
  public void onNewEra() {
    isRestored = true;
  }

  /**
   * {@inheritDoc}
   *
   * <p>After a restore, an order whose row is missing or older than the known one stays in force.
   */
  @Override
  public void onRows(List<TableRow> rows, Moment sentAt) {
    Set<PoolName> ordered = new HashSet<>();
    for (TableRow row : rows) {
      poolOf(row.key()).ifPresent(ordered::add);
      apply(row, isRestored ? rollouts::setRestoredOrder : rollouts::setOrder);
    }
    if (!isRestored) {
      rollouts.retainOrders(ordered);
    }
    isRestored = false;
    rollouts.ordersRead(sentAt);
  }

  @Override
  public void onChanges(RowChanges.Delta changes, Moment sentAt) {
    changes.removedKeys().forEach(key -> poolOf(key).ifPresent(rollouts::removeOrder));
    changes.written().forEach(row -> apply(row, rollouts::setOrder));
    rollouts.ordersRead(sentAt);
  }

  private void apply(TableRow row, Consumer<RolloutOrder> receiver) {
    if (!row.key().startsWith(KEY_PREFIX) || !row.partition().isEmpty()) {
      return;
    }
    try {
      receiver.accept(decode(row));
    } catch (IOException | RuntimeException malformed) {
      events.record(
          EventType.ROLLOUT_ORDER_MALFORMED, row.key(), MalformedRow.details(row, malformed));
    }
  }

  private static Optional<PoolName> poolOf(String key) {
    try {
      return key.startsWith(KEY_PREFIX)
          ? Optional.of(PoolName.of(key.substring(KEY_PREFIX.length())))
          : Optional.empty();
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }

  /**
   * Decodes an order.
   *
   * @throws IOException if the value is not JSON
   * @throws IllegalArgumentException if a field is missing or invalid, or names another pool than
   *     the key
   */
  static RolloutOrder decode(TableRow row) throws IOException {
    Fields fields = Fields.of(JSON.readTree(row.value()));
    PoolName pool = PoolName.of(fields.text("service"));
    if (!row.key().equals(KEY_PREFIX + pool.value())) {
      throw new IllegalArgumentException("field service differs from the key");
    }
    double seconds = fields.number("duration_s");
    if (!(seconds > 0 && seconds < MAX_SECONDS)) {
      throw new IllegalArgumentException("field duration_s is out of range");
    }
    Duration duration = Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    return new RolloutOrder(pool, fields.text("to"), duration, row.version());
  }
}
