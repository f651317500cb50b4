package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.fleet.ProofExchange;
import org.snipewick.route.PlanController;
import org.snipewick.route.RoutingPlan;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;

/**
 * Passes the operators' configuration to the plan controller, and each proof that it is current:
 * the time of a request to the store whose response contained it or showed that it had not changed.
 */
final class ConfigurationListener implements MirrorListener {
  /** Key of the row that holds the whole configuration. */
  private static final String CONFIGURATION_KEY = "config";

  private final PlanController plans;
  private final EventLog events;
  private Optional<ProofExchange> proofExchange = Optional.empty();
  private boolean isStoreUnavailable;

  /** Whether the store was restored and has not shown a configuration as new as the plan since. */
  private boolean isStoreBehind;

  ConfigurationListener(PlanController plans, EventLog events) {
    this.plans = requireNonNull(plans, "plans");
    this.events = requireNonNull(events, "events");
  }

  /** Sets the exchange that obtains proofs from peers while the store cannot be read. */
  void setProofExchange(ProofExchange exchange) {
    proofExchange = Optional.of(exchange);
    if (isStoreUnavailable) {
      exchange.onStoreUnavailable();
    }
  }

  @Override
  public void onNewEra() {
    isStoreBehind = true;
  }

  @Override
  public void onUnavailable() {
    isStoreUnavailable = true;
    proofExchange.ifPresent(ProofExchange::onStoreUnavailable);
  }

  @Override
  public void onAvailableAgain() {
    isStoreUnavailable = false;
    proofExchange.ifPresent(ProofExchange::onStoreAvailableAgain);
  }

  @Override
  public void onRows(List<TableRow> rows, Moment sentAt) {
    rows.forEach(row -> applyRow(row, sentAt));
  }

  @Override
  public void onChanges(RowChanges.Delta changes, Moment sentAt) {
    boolean isWellFormed = changes.written().stream().allMatch(row -> applyRow(row, sentAt));
    if (isWellFormed && !isStoreBehind) {
      plans.confirm(sentAt);
    }
  }

  /**
   * Applies a row if it holds the configuration.
   *
   * @return false if the configuration is malformed, true otherwise
   */
  private boolean applyRow(TableRow row, Moment sentAt) {
    if (!row.key().equals(CONFIGURATION_KEY) || !row.partition().isEmpty()) {
      return true;
    }
    try {
      RoutingPlan plan = PlanCodec.decode(row.value());
      plans.accept(plan, sentAt);
      isStoreBehind &= plans.current().filter(now -> now.version() > plan.version()).isPresent();
      return true;
    } catch (IOException | RuntimeException malformed) {
      events.record(EventType.PLAN_MALFORMED, row.key(), MalformedRow.details(row, malformed));
      return false;
    }
  }
}
