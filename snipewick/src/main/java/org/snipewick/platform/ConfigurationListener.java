package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.fleet.ProofExchange;
import org.snipewick.route.PlanController;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;

/**
 * Passes the operators' configuration, and each proof that it is current, to the plan controller.
 */
final class ConfigurationListener implements MirrorListener {
  private static final String CONFIGURATION_KEY = "config";

  private final PlanController plans;
  private final EventLog events;
  private Optional<ProofExchange> proofs = Optional.empty();
  private boolean isStoreLost;

  ConfigurationListener(PlanController plans, EventLog events) {
    this.plans = requireNonNull(plans, "plans");
    this.events = requireNonNull(events, "events");
  }

  /** Sets the exchange that obtains proofs from peers while the store cannot be read. */
  void setProofExchange(ProofExchange exchange) {
    proofs = Optional.of(exchange);
    if (isStoreLost) {
      exchange.storeLost();
    }
  }

  @Override
  public void onUnavailable() {
    isStoreLost = true;
    proofs.ifPresent(ProofExchange::storeLost);
  }

  @Override
  public void onAvailableAgain() {
    isStoreLost = false;
    proofs.ifPresent(ProofExchange::storeRegained);
  }

  @Override
  public void onRows(List<TableRow> rows, Moment provenAt) {
    rows.forEach(row -> accept(row, provenAt));
  }

  @Override
  public void onChanges(RowChanges.Delta changes, Moment provenAt) {
    boolean isWellFormed = changes.written().stream().allMatch(row -> accept(row, provenAt));
    if (isWellFormed) {
      plans.confirm(provenAt);
    }
  }

  /** Applies a row; returns false if it is a malformed configuration, true otherwise. */
  private boolean accept(TableRow row, Moment provenAt) {
    if (!row.key().equals(CONFIGURATION_KEY) || !row.partition().isEmpty()) {
      return true;
    }
    try {
      plans.accept(PlanCodec.decode(row.value()), provenAt);
      return true;
    } catch (IOException | IllegalArgumentException malformed) {
      events.record(
          EventType.PLAN_MALFORMED,
          row.key(),
          Map.of("rowVersion", row.version(), "detail", String.valueOf(malformed.getMessage())));
      return false;
    }
  }
}
