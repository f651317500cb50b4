package org.snipewick.systemtests.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.fleet.FleetMember;
import org.snipewick.fleet.InstanceRegistration;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.EraTracker;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.PollSchedule;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableMirror;
import org.snipewick.store.TableRow;
import org.snipewick.store.access.SingleAttemptStore;
import org.snipewick.store.access.StoreCalls;
import org.snipewick.time.Moment;

/** Tests mirrors of tables and the registration of instances under faults of the store. */
final class StoreWatchTest {
  private static final String TABLE = "watched";
  private static final Duration MIRROR_WAIT = Duration.ofSeconds(1);
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);
  private static final long TIMEOUT_MILLIS = 700;

  private final PlatformFixture fixture = PlatformFixture.start(settings -> settings);
  private final StoreCalls calls = fixture.calls(TIMEOUT_MILLIS);
  private final SingleAttemptStore store = SingleAttemptStore.of(calls);
  private final RowCopy rowCopy = new RowCopy();

  @AfterEach
  void stop() {
    calls.close();
    fixture.close();
  }

  /** Keeps the version of each row, and counts how often all rows were received. */
  private static final class RowCopy implements MirrorListener {
    private final Map<String, Long> versionsByKey = new TreeMap<>();
    private int fullReadCount;

    @Override
    public synchronized void onRows(List<TableRow> rows, Moment provenAt) {
      fullReadCount++;
      versionsByKey.clear();
      rows.forEach(row -> versionsByKey.put(row.key(), row.version()));
    }

    @Override
    public synchronized void onChanges(RowChanges.Delta changes, Moment provenAt) {
      changes.removedKeys().forEach(versionsByKey::remove);
      changes.written().forEach(row -> versionsByKey.put(row.key(), row.version()));
    }

    synchronized Map<String, Long> versions() {
      return new TreeMap<>(versionsByKey);
    }

    synchronized int fullReadCount() {
      return fullReadCount;
    }
  }

  private TableMirror startMirror() {
    TableMirror mirror =
        TableMirror.start(
            store,
            TABLE,
            new PollSchedule(MIRROR_WAIT, Duration.ZERO),
            fixture.timer(),
            EventLog.none(),
            new Random(5),
            rowCopy);
    Await.until(WAIT_TIMEOUT, "first read of all rows", () -> rowCopy.fullReadCount() == 1);
    return mirror;
  }

  private static void waitFor(Duration time) {
    long end = System.nanoTime() + time.toNanos();
    Await.until(time.plus(WAIT_TIMEOUT), "time to pass", () -> System.nanoTime() >= end);
  }

  private long put(String key) {
    return store.put(TABLE, key, new byte[] {1}).orTimeout(20, TimeUnit.SECONDS).join();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "{\"outage\":true}",
        "{\"hang\":true}",
        "{\"delayMillis\":900}",
        "{\"forgetHistory\":true}"
      })
  void shouldReceiveEveryRowWhenStoreFailsWhileMirrorWaits(String faults) {
    final TableMirror mirror = startMirror();
    Map<String, Long> written = new TreeMap<>();
    for (int number = 0; number < 3; number++) {
      written.put("before-" + number, put("before-" + number));
    }
    fixture.setFaults(faults);
    waitFor(Duration.ofMillis(TIMEOUT_MILLIS));
    fixture.setFaults("{}");
    for (int number = 0; number < 3; number++) {
      written.put("after-" + number, put("after-" + number));
    }

    Await.until(WAIT_TIMEOUT, "all rows written", () -> rowCopy.versions().equals(written));
    mirror.close();
  }

  /** Guards against rows of a lost history that stay in the mirror of a restored store. */
  @Test
  void shouldReadAllRowsAgainWhenStoreIsRestored() {
    final long kept = put("kept");
    waitFor(Duration.ofMillis(300));
    final TableMirror mirror = startMirror();
    put("lost");
    Await.until(WAIT_TIMEOUT, "both rows", () -> rowCopy.versions().size() == 2);
    fixture.put("/control/restore", Map.of("ageMillis", 200));

    Await.until(WAIT_TIMEOUT, "kept", () -> rowCopy.versions().equals(Map.of("kept", kept)));
    assertThat(rowCopy.fullReadCount()).isEqualTo(2);
    mirror.close();
  }

  @Test
  void shouldDetectSilentConnectionWhenRowsChangeMeanwhile() {
    final TableMirror mirror = startMirror();
    fixture.setFaults("{\"hang\":true}");
    final long faultBeganNanos = System.nanoTime();
    waitFor(MIRROR_WAIT.plusMillis(TIMEOUT_MILLIS));
    fixture.setFaults("{}");
    long version = put("row");

    Await.until(WAIT_TIMEOUT, "row", () -> rowCopy.versions().equals(Map.of("row", version)));
    assertThat(Duration.ofNanos(System.nanoTime() - faultBeganNanos))
        .isLessThan(Duration.ofSeconds(6));
    mirror.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "{\"outage\":true}",
        "{\"hang\":true}",
        "{\"loseAnswers\":true}",
        "{\"lateMillis\":300}"
      })
  void shouldRegisterWithGrowingIncarnationsWhenStoreFails(String faults) {
    final List<EventType> events = new ArrayList<>();
    FleetMember self =
        new FleetMember(
            InstanceId.of("north-a.1"),
            FailureDomain.of("north-a"),
            InetSocketAddress.createUnresolved("127.0.0.1", 7100));
    EraTracker eras = EraTracker.of(fixture.timer(), EventLog.none());
    fixture.setFaults(faults);
    final var first =
        InstanceRegistration.start(
            store,
            self,
            fixture.timer(),
            (type, subject, details) -> events.add(type),
            new Random(6),
            eras);
    waitFor(Duration.ofMillis(400));
    fixture.setFaults("{}");
    long incarnation = first.orTimeout(20, TimeUnit.SECONDS).join();
    long next =
        InstanceRegistration.start(
                store, self, fixture.timer(), EventLog.none(), new Random(7), eras)
            .orTimeout(20, TimeUnit.SECONDS)
            .join();

    assertThat(next).isGreaterThan(incarnation);
    assertThat(events).contains(EventType.INSTANCE_REGISTERED);
    assertThat(events.contains(EventType.TABLE_LOST)).isEqualTo(!faults.equals("{}"));
    assertThat(events.contains(EventType.TABLE_REGAINED)).isEqualTo(!faults.equals("{}"));
  }
}
