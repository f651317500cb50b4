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
import org.snipewick.fleet.Registration;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableMirror;
import org.snipewick.store.TableRow;
import org.snipewick.store.access.DirectStore;
import org.snipewick.store.access.StoreCalls;
import org.snipewick.time.Moment;

/** Tables are followed, and instances register, through the faults of the store. */
final class StoreWatchTest {
  private static final String TABLE = "watched";
  private static final Duration WAIT = Duration.ofSeconds(1);
  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final long TIMEOUT_MILLIS = 700;

  private final PlatformFixture fixture = PlatformFixture.start(settings -> settings);
  private final StoreCalls calls = fixture.calls(TIMEOUT_MILLIS);
  private final DirectStore store = DirectStore.of(calls);
  private final Copy copy = new Copy();

  @AfterEach
  void stop() {
    calls.close();
    fixture.close();
  }

  /** What a listener has learnt; the number of times that it was given all rows. */
  private static final class Copy implements MirrorListener {
    private final Map<String, Long> versionsByKey = new TreeMap<>();
    private int wholes;

    @Override
    public synchronized void onRows(List<TableRow> rows, Moment provenAt) {
      wholes++;
      versionsByKey.clear();
      rows.forEach(row -> versionsByKey.put(row.key(), row.version()));
    }

    @Override
    public synchronized void onChanges(RowChanges.Told changes, Moment provenAt) {
      changes.removedKeys().forEach(versionsByKey::remove);
      changes.written().forEach(row -> versionsByKey.put(row.key(), row.version()));
    }

    synchronized Map<String, Long> versions() {
      return new TreeMap<>(versionsByKey);
    }

    synchronized int wholes() {
      return wholes;
    }
  }

  private TableMirror follow() {
    TableMirror mirror =
        TableMirror.start(
            store, TABLE, WAIT, fixture.timer(), EventLog.none(), new Random(5), copy);
    Await.until(PATIENCE, "first reading", () -> copy.wholes() == 1);
    return mirror;
  }

  private static void letPass(Duration time) {
    long end = System.nanoTime() + time.toNanos();
    Await.until(time.plus(PATIENCE), "time", () -> System.nanoTime() >= end);
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
  void shouldLearnEveryRowWhenFaultStrikesWhileItWaits(String faults) {
    final TableMirror mirror = follow();
    Map<String, Long> written = new TreeMap<>();
    for (int number = 0; number < 3; number++) {
      written.put("before-" + number, put("before-" + number));
    }
    fixture.faults(faults);
    letPass(Duration.ofMillis(TIMEOUT_MILLIS));
    fixture.faults("{}");
    for (int number = 0; number < 3; number++) {
      written.put("after-" + number, put("after-" + number));
    }

    Await.until(PATIENCE, "all rows", () -> copy.versions().equals(written));
    mirror.close();
  }

  @Test
  void shouldNoticeSilentConnectionWhenChangesComeMeanwhile() {
    final TableMirror mirror = follow();
    fixture.faults("{\"hang\":true}");
    final long sentAt = System.nanoTime();
    letPass(WAIT.plusMillis(TIMEOUT_MILLIS));
    fixture.faults("{}");
    long version = put("row");

    Await.until(PATIENCE, "the row", () -> copy.versions().equals(Map.of("row", version)));
    assertThat(Duration.ofNanos(System.nanoTime() - sentAt)).isLessThan(Duration.ofSeconds(6));
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
  void shouldRegisterUnderRisingNumbersWhenFaultStrikes(String faults) {
    final List<EventType> events = new ArrayList<>();
    FleetMember self =
        new FleetMember(
            InstanceId.of("north-a.1"),
            FailureDomain.of("north-a"),
            InetSocketAddress.createUnresolved("127.0.0.1", 7100));
    fixture.faults(faults);
    final var first =
        Registration.start(
            store, self, fixture.timer(), (type, of, more) -> events.add(type), new Random(6));
    letPass(Duration.ofMillis(400));
    fixture.faults("{}");
    long incarnation = first.orTimeout(20, TimeUnit.SECONDS).join();
    long next =
        Registration.start(store, self, fixture.timer(), EventLog.none(), new Random(7))
            .orTimeout(20, TimeUnit.SECONDS)
            .join();

    assertThat(next).isGreaterThan(incarnation);
    assertThat(events).contains(EventType.INSTANCE_REGISTERED);
    assertThat(events.contains(EventType.TABLE_LOST)).isEqualTo(!faults.equals("{}"));
    assertThat(events.contains(EventType.TABLE_REGAINED)).isEqualTo(!faults.equals("{}"));
  }
}
