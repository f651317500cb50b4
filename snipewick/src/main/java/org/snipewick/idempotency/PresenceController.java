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
 * Inserts the row of the own failure domain into the platform's table. The one process that inserts
 * it knows that no claims were remembered in the domain before; any later process does not.
 *
 * <p>The row is never deleted, and its age tells nothing: a domain may have gone on claiming keys
 * through an outage of the platform until just before it restarted. It is not read but inserted,
 * since reads may be stale.
 */
public final class PresenceController {
  private static final String PREFIX = "presence/";

  /** In an outage the platform's circuit breaker keeps these tries from it. */
  private static final Duration RETRY_PERIOD = Duration.ofSeconds(1);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final RegistrarLedger ledger;
  private final StrongTable table;
  private final Write row;
  private final String value;
  private final CompletableFuture<PresenceController> settled = new CompletableFuture<>();
  private final TimerService.Subscription retry;

  private PresenceController(Table table, RegistrarLedger ledger) {
    LedgerContext context = ledger.context();
    this.ledger = ledger;
    this.table = new StrongTable(requireNonNull(table, "table"), context.timer());
    MembershipView view = context.membership().view();
    this.value = toJson(new Presence(view.self(), UUID.randomUUID()));
    this.row = Write.insert(PREFIX + view.ownDomain(), value);
    this.retry = context.timer().every(RETRY_PERIOD, this::insertAgain);
  }

  /**
   * Inserts the row of the domain and tells the ledger if it was not there, at once or later. The
   * instance should wait a while for the returned future before it accepts callers.
   *
   * @param table the platform's table
   * @param ledger ledger that is told whether the domain was empty
   * @return controller, once the row is there; it goes on trying until then
   */
  public static CompletableFuture<PresenceController> start(Table table, RegistrarLedger ledger) {
    PresenceController controller = new PresenceController(table, ledger);
    controller.insertAgain();
    return controller.settled;
  }

  private void insertAgain() {
    var unused = insert();
  }

  private CompletableFuture<Void> insert() {
    return table
        .write(row, value::equals)
        .thenAccept(
            resolved -> {
              boolean inserted = resolved.result() instanceof WriteResult.Applied;
              if (inserted) {
                ledger.proveEmpty();
              }
              if (inserted || resolved.result() instanceof WriteResult.Conflict) {
                retry.cancel();
                settled.complete(this);
              }
            });
  }

  private static String toJson(Presence presence) {
    try {
      return MAPPER.writeValueAsString(presence);
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private record Presence(InstanceId instance, UUID token) {}
}
