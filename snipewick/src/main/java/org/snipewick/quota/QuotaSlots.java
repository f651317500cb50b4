package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.EventLog;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.ConditionalTableWriter;
import org.snipewick.store.EraTracker;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableReader;
import org.snipewick.store.TableRow;
import org.snipewick.time.TimerService;

/**
 * Slots that this instance holds. Every limit is divided into equal parts, one per slot, and an
 * instance grants out of the slots whose leases it holds in the store, so that the grants of all
 * instances together never exceed the limit. Not thread-safe.
 */
final class QuotaSlots {
  /** Number of equal parts of every limit; must be the same at all instances. */
  static final int COUNT = 8;

  /** Table that contains one row per slot. */
  static final String TABLE = "quota-slots";

  private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
  private static final Duration READ_PERIOD = Duration.ofMillis(500);

  /** Time without an announcement of its holder after which a slot may be vacant. */
  private static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(1);

  /** Delay between the attempts of two instances to take a vacant slot. */
  private static final Duration DELAY_PER_RANK = Duration.ofMillis(700);

  private static final Duration MAX_RANK_DELAY = Duration.ofSeconds(30);

  /** Additional delay of an instance that holds as many slots as others already. */
  private static final Duration HOLDER_DELAY = Duration.ofMillis(1500);

  private final InstanceId self;
  private final TableReader reader;
  private final TimerService timer;
  private final EraTracker eras;
  private final List<SlotLease> leases = new ArrayList<>();
  private final Map<Integer, Long> announcedNanos = new HashMap<>();
  private List<InstanceId> instances;
  private Optional<Long> readNanos = Optional.empty();
  private boolean isReading;
  private boolean isReleased;

  private QuotaSlots(
      InstanceId self,
      Duration window,
      TableReader reader,
      ConditionalTableWriter writer,
      TimerService timer,
      EventLog events,
      SlotGrants.Capacities capacities,
      long incarnation,
      EraTracker eras) {
    this.eras = requireNonNull(eras, "eras");
    this.self = requireNonNull(self, "self");
    this.reader = requireNonNull(reader, "reader");
    this.timer = requireNonNull(timer, "timer");
    this.instances = List.of(self);
    for (int slot = 0; slot < COUNT; slot++) {
      leases.add(
          new SlotLease(slot, self, incarnation, window, writer, timer, events, capacities, eras));
      announcedNanos.put(slot, timer.nanoTime());
    }
  }

  /**
   * Starts to acquire and renew slots.
   *
   * @param self this instance
   * @param window window of the limits
   * @param reader reads the rows of the slots
   * @param writer writes them
   * @param timer source of time
   * @param events log to which acquired and lost slots are written
   * @param capacities part of each limit that a slot contains
   * @param incarnation number of this process
   * @param eras eras of the store
   */
  static QuotaSlots start(
      InstanceId self,
      Duration window,
      TableReader reader,
      ConditionalTableWriter writer,
      TimerService timer,
      EventLog events,
      SlotGrants.Capacities capacities,
      long incarnation,
      EraTracker eras) {
    QuotaSlots slots =
        new QuotaSlots(self, window, reader, writer, timer, events, capacities, incarnation, eras);
    slots.read();
    timer.every(CHECK_PERIOD, slots::check);
    return slots;
  }

  /** Sets all registered instances, in an order that is the same at each of them. */
  void setInstances(List<InstanceId> registered) {
    instances = List.copyOf(registered);
  }

  /** Records which slots are announced by their holders at present. */
  void setAnnounced(Set<Integer> slots) {
    slots.forEach(slot -> announcedNanos.put(slot, timer.nanoTime()));
  }

  /** Returns the slots that this instance holds now, by their number. */
  Map<Integer, SlotGrants> held() {
    Map<Integer, SlotGrants> held = new TreeMap<>();
    leases.forEach(lease -> lease.held().ifPresent(grants -> held.put(lease.slot(), grants)));
    return held;
  }

  /** Writes records with higher ceilings, where they are needed. */
  void recordIfNeeded() {
    leases.forEach(SlotLease::renewIfDue);
  }

  /** Releases all slots, so that other instances can take them at once. */
  void release() {
    isReleased = true;
    leases.forEach(SlotLease::release);
  }

  private void check() {
    if (isReleased) {
      return;
    }
    leases.forEach(SlotLease::renewIfDue);
    boolean isReadDue =
        readNanos.isEmpty() || timer.nanoTime() - readNanos.get() >= READ_PERIOD.toNanos();
    if (leases.stream().anyMatch(SlotLease::isOfEarlierEra)
        || (isReadDue && leases.stream().anyMatch(this::mayTake))) {
      read();
    }
  }

  /** Returns whether a slot may be vacant and it is the turn of this instance to take it. */
  private boolean mayTake(SlotLease lease) {
    if (lease.isMine()) {
      return false;
    }
    long heldSlots = leases.stream().filter(SlotLease::isMine).count();
    boolean hasItsShare = heldSlots * instances.size() >= COUNT;
    Duration delay =
        ANNOUNCEMENT_TIMEOUT
            .plus(rankDelay(lease.slot()))
            .plus(hasItsShare ? HOLDER_DELAY : Duration.ZERO);
    return timer.nanoTime() - announcedNanos.get(lease.slot()) >= delay.toNanos();
  }

  /** Prefers another instance for each slot, spread evenly over all instances. */
  private Duration rankDelay(int slot) {
    int preferred = slot * instances.size() / COUNT;
    int rank = Math.floorMod(instances.indexOf(self) - preferred, instances.size());
    Duration delay = DELAY_PER_RANK.multipliedBy(rank);
    return delay.compareTo(MAX_RANK_DELAY) > 0 ? MAX_RANK_DELAY : delay;
  }

  private void read() {
    if (isReading) {
      return;
    }
    isReading = true;
    readNanos = Optional.of(timer.nanoTime());
    CompletableFuture<Void> unused =
        reader
            .read(TABLE, Optional.empty())
            .handle(
                (page, thrown) -> {
                  isReading = false;
                  if (thrown == null && !isReleased && page.era() == eras.newest()) {
                    onRows(page);
                  }
                  return null;
                });
  }

  private void onRows(RowPage page) {
    for (SlotLease lease : leases) {
      Optional<TableRow> row =
          page.rows().stream().filter(each -> each.key().equals(lease.key())).findFirst();
      lease.observe(row, page.era());
      if (lease.isOfThisInstance() || (lease.isVacant() && mayTake(lease))) {
        lease.take();
      }
    }
  }
}
