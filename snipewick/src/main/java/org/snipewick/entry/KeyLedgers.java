package org.snipewick.entry;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.snipewick.idempotency.DomainStartMarker;
import org.snipewick.idempotency.IntentSweep;
import org.snipewick.idempotency.LedgerSettings;
import org.snipewick.idempotency.RegistrarLedger;
import org.snipewick.idempotency.RequestLedger;
import org.snipewick.idempotency.RoutingLedger;
import org.snipewick.idempotency.TableRequestLedger;
import org.snipewick.store.Table;
import org.snipewick.store.access.StoreAccess;
import org.snipewick.writer.DomainTable;
import org.snipewick.writer.DomainWriter;

/**
 * Ledgers of idempotency keys.
 *
 * @param requestLedger ledger that requests use; routes to the table or the registrars
 * @param registrarLedger ledger of the keys of model requests and reads
 * @param domainStartMarker completes with the marker that shows whether the failure domain was
 *     started before, and thus whether its records of keys are complete
 */
record KeyLedgers(
    RequestLedger requestLedger,
    RegistrarLedger registrarLedger,
    CompletableFuture<DomainStartMarker> domainStartMarker) {
  /** Time beyond the platform's timeout for the messages to the writer and back. */
  private static final Duration WRITER_TIMEOUT_MARGIN = Duration.ofMillis(200);

  static KeyLedgers start(SharedComponents components) {
    Table intents = intentTable(components);
    LedgerSettings settings =
        LedgerSettings.defaults()
            .withKeyRetention(SharedComponents.keyRetention(components.settings()))
            .withHomeDomains(components.settings().failureDomains());
    RegistrarLedger registrarLedger =
        RegistrarLedger.of(
            components.network(),
            components.membership(),
            components.membership()::recentLostProcesses,
            components.timer(),
            settings);
    TableRequestLedger actionLedger =
        TableRequestLedger.of(
            intents,
            components.membership(),
            components.timer(),
            new SecureRandom(),
            components.timeline(),
            settings);
    IntentSweep.start(intents, components.membership(), components.timer(), settings);
    return new KeyLedgers(
        RoutingLedger.of(actionLedger, registrarLedger),
        registrarLedger,
        DomainStartMarker.start(components.platform().table(), registrarLedger));
  }

  /**
   * Returns the table for rows of actions, which are written through the writer of the failure
   * domain if writers are in use; all other rows are written directly to the store.
   */
  private static Table intentTable(SharedComponents components) {
    BooleanSupplier writersEnabled = () -> components.writeShares().get().usesWriters();
    StoreAccess platform = components.platform();
    DomainWriter.start(
        components.network(), components.membership(), platform.writerTable(), writersEnabled);
    return DomainTable.of(
        new DomainTable.Tables(
            platform.table(), platform.writerTable(), writerResponseTimeout(components)),
        components.network(),
        components.membership(),
        components.timer(),
        components.timeline(),
        writersEnabled);
  }

  private static Duration writerResponseTimeout(SharedComponents components) {
    return Duration.ofMillis(components.settings().platform().timeoutMillis())
        .plus(WRITER_TIMEOUT_MARGIN);
  }

  /** Hands the records of keys over to peers, in a planned stop. */
  CompletableFuture<Void> handOver() {
    return registrarLedger.handOver();
  }
}
