package org.snipewick.entry;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.snipewick.idempotency.IntentSweep;
import org.snipewick.idempotency.LedgerSettings;
import org.snipewick.idempotency.PresenceController;
import org.snipewick.idempotency.RegistrarLedger;
import org.snipewick.idempotency.RequestLedger;
import org.snipewick.idempotency.RoutingLedger;
import org.snipewick.idempotency.TableRequestLedger;
import org.snipewick.store.Table;
import org.snipewick.store.access.StoreAccess;
import org.snipewick.writer.DomainTable;
import org.snipewick.writer.DomainWriter;

/**
 * Memory of idempotency keys.
 *
 * @param ledger what requests use
 * @param registrar keys of model requests and reads
 * @param presence proof of whether the domain's memory is complete
 */
record KeyMemory(
    RequestLedger ledger,
    RegistrarLedger registrar,
    CompletableFuture<PresenceController> presence) {
  private static final Duration WRITER_WAIT = Duration.ofMillis(200);

  static KeyMemory start(Foundation foundation) {
    Table intents = intentTable(foundation);
    LedgerSettings settings =
        LedgerSettings.defaults()
            .withKeyRetention(Foundation.retention(foundation.settings()))
            .withHomeDomains(foundation.settings().failureDomains());
    RegistrarLedger registrar =
        RegistrarLedger.of(
            foundation.network(),
            foundation.membership(),
            foundation.membership()::recentLosses,
            foundation.timer(),
            settings);
    TableRequestLedger actions =
        TableRequestLedger.of(
            intents,
            foundation.membership(),
            foundation.timer(),
            new SecureRandom(),
            foundation.timeline(),
            settings);
    IntentSweep.start(intents, foundation.membership(), foundation.timer(), settings);
    return new KeyMemory(
        RoutingLedger.of(actions, registrar),
        registrar,
        PresenceController.start(foundation.platform().table(), registrar));
  }

  /** Returns the table for rows of actions; all other rows are written directly. */
  private static Table intentTable(Foundation foundation) {
    BooleanSupplier enabled = () -> foundation.shares().get().usesWriters();
    StoreAccess platform = foundation.platform();
    DomainWriter.start(
        foundation.network(), foundation.membership(), platform.writerTable(), enabled);
    return DomainTable.of(
        new DomainTable.Tables(platform.table(), platform.writerTable(), answerTimeout(foundation)),
        foundation.network(),
        foundation.membership(),
        foundation.timer(),
        foundation.timeline(),
        enabled);
  }

  private static Duration answerTimeout(Foundation foundation) {
    return Duration.ofMillis(foundation.settings().platform().timeoutMillis()).plus(WRITER_WAIT);
  }

  /** Gives what is remembered to other instances, in a planned stop. */
  CompletableFuture<Void> handOver() {
    return registrar.handOver();
  }
}
