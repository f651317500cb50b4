package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.MembershipView;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * Inserts a marker row for the local failure domain into the platform's table. If the insertion
 * succeeds, no claims were recorded in the domain before; if the row exists already, there may have
 * been claims.
 *
 * <p>The row is never deleted, and its age proves nothing: a domain may have continued to grant
 * claims during an outage of the platform until just before it restarted. The row is inserted
 * rather than read, since reads may be stale.
 */
public final class DomainStartMarker {
  private static final String ROW_KEY_PREFIX = "presence/";

  /** During an outage, the circuit breaker of {@code store.access} rejects these retries. */
  private static final Duration RETRY_PERIOD = Duration.ofSeconds(1);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final RegistrarLedger ledger;
  private final ConsistentTable table;
  private final Write row;
  private final String value;
  private final CompletableFuture<DomainStartMarker> rowExists = new CompletableFuture<>();
  private final TimerService.Subscription retryTimer;

  private DomainStartMarker(Table table, RegistrarLedger ledger) {
    LedgerContext context = ledger.context();
    this.ledger = ledger;
    this.table = new ConsistentTable(requireNonNull(table, "table"), context.timer());
    MembershipView view = context.membership().view();
    this.value = toJson(new MarkerValue(view.self(), UUID.randomUUID()));
    this.row = Write.insert(ROW_KEY_PREFIX + view.localDomain(), value);
    this.retryTimer = context.timer().every(RETRY_PERIOD, this::retryInsert);
  }

  /**
   * Starts to insert the marker row of the domain, and notifies the ledger if this instance
   * inserted it. Retries until the row exists. An instance should wait a limited time for the
   * returned future before it accepts callers.
   *
   * @param table the platform's table
   * @param ledger ledger that is notified if the domain had no claims before
   * @return future that completes with the marker when the row exists
   */
  public static CompletableFuture<DomainStartMarker> start(Table table, RegistrarLedger ledger) {
    DomainStartMarker marker = new DomainStartMarker(table, ledger);
    marker.retryInsert();
    return marker.rowExists;
  }

  private void retryInsert() {
    var unused = insert();
  }

  private CompletableFuture<Void> insert() {
    return table
        .write(row, value::equals)
        .thenAccept(
            resolved -> {
              boolean inserted = resolved.result() instanceof WriteResult.Applied;
              if (inserted) {
                ledger.markInitiallyEmpty();
              }
              if (inserted || resolved.result() instanceof WriteResult.Conflict) {
                retryTimer.cancel();
                rowExists.complete(this);
              }
            });
  }

  private static String toJson(MarkerValue markerValue) {
    try {
      return MAPPER.writeValueAsString(markerValue);
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private record MarkerValue(InstanceId instance, UUID token) {}
}
