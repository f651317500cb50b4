package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.snipewick.membership.Member;

/**
 * Random schedules of requests and faults; the views of the instances change at different times.
 */
class RegistrarLedgerPropertiesTest {
  private static final int MAX_VIEW_DELAY_MILLIS = 900;

  @Property(tries = 1000, seed = "44", shrinking = ShrinkingMode.OFF)
  void shouldNeverGrantKeyTwiceWhenFaultsOccur(
      @ForAll long seed, @ForAll @Size(min = 5, max = 35) List<@IntRange(max = 9) Integer> steps) {
    Schedule schedule = new Schedule(seed);
    for (int step : steps) {
      schedule.run(step);
      schedule.check();
    }
    schedule.cluster.advance(Duration.ofSeconds(6));
    schedule.check();
  }

  /** Reproduces a fault: a registrar treated a claim in preparation at another one as granted. */
  @Test
  void shouldNotTreatClaimInPreparationAsGrantedWhenFoundByAnotherRegistrar() {
    List<Integer> steps =
        List.of(6, 6, 7, 8, 2, 1, 6, 1, 3, 6, 5, 7, 3, 5, 3, 8, 4, 4, 3, 5, 8, 9, 2, 8, 2, 4, 9, 2);
    shouldNeverGrantKeyTwiceWhenFaultsOccur(26239, steps);
  }

  /** Cluster on which random requests and faults are run one after another. */
  private static final class Schedule {
    final KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3", "a.4", "b.1");
    private final List<KeyCluster.ClaimAttempt> attempts = new ArrayList<>();
    private final List<KeyCluster.ClaimAttempt> released = new ArrayList<>();
    private final Random random;
    private long incarnations = 1;

    Schedule(long seed) {
      random = new Random(seed);
    }

    void run(int step) {
      switch (step) {
        case 0, 1, 2, 3 -> claim();
        case 4 -> finish(false);
        case 5 -> finish(true);
        case 6 -> crash();
        case 7 -> pause();
        case 8 -> restart();
        default -> cluster.advance(Duration.ofMillis(random.nextInt(400)));
      }
      cluster.advance(Duration.ofMillis(random.nextInt(20)));
    }

    /** Checks that each key has at most one granted claim that was not released. */
    void check() {
      for (String key : List.of("a.x", "a.y")) {
        long granted =
            attempts.stream()
                .filter(attempt -> attempt.request.key().equals(key))
                .filter(attempt -> attempt.result().equals("Fresh"))
                .filter(attempt -> !released.contains(attempt))
                .count();
        assertThat(granted).as("grants of " + key).isLessThanOrEqualTo(1);
      }
    }

    private void claim() {
      String key = random.nextBoolean() ? "a.x" : "a.y";
      randomRunningNode(true)
          .ifPresent(node -> attempts.add(cluster.beginClaim(nameOf(node), key)));
    }

    /** Releases or completes a random granted claim. */
    private void finish(boolean release) {
      List<KeyCluster.ClaimAttempt> open =
          attempts.stream()
              .filter(attempt -> attempt.result().equals("Fresh") && !released.contains(attempt))
              .filter(attempt -> attempt.node.running && !attempt.node.paused)
              .toList();
      if (open.isEmpty()) {
        return;
      }
      KeyCluster.ClaimAttempt attempt = open.get(random.nextInt(open.size()));
      if (release && !cluster.dispatches.containsKey(attempt.request.id().toString())) {
        released.add(attempt);
        attempt.release();
      } else {
        cluster.dispatches.put(attempt.request.id().toString(), 1);
        attempt.complete();
      }
    }

    private void crash() {
      randomRunningNode(true)
          .ifPresent(
              node -> {
                cluster.crash(nameOf(node));
                updateViewsWithDelays(KeyCluster.FAILURE_DETECTION_DELAY, node, Member.State.DEAD);
              });
    }

    private void pause() {
      randomRunningNode(true)
          .ifPresent(
              node -> {
                cluster.pause(nameOf(node));
                updateViewsWithDelays(KeyCluster.FAILURE_DETECTION_DELAY, node, Member.State.DEAD);
                Duration pause = Duration.ofMillis(3_000 + random.nextInt(4_000));
                var unused = cluster.timer.after(pause, () -> resume(node));
              });
    }

    private void resume(KeyCluster.Node node) {
      if (node.running) {
        cluster.resume(nameOf(node));
        Duration reactivationDelay = Duration.ofMillis(random.nextInt(MAX_VIEW_DELAY_MILLIS));
        var unused =
            cluster.timer.after(
                reactivationDelay,
                () -> {
                  if (node.running && !node.paused) {
                    cluster.nodes.values().stream()
                        .filter(other -> other.running)
                        .forEach(other -> node.updateView(other.member));
                    cluster.reactivate(nameOf(node));
                  }
                });
      }
    }

    private void restart() {
      List<String> dead =
          cluster.nodes.entrySet().stream()
              .filter(entry -> !entry.getValue().running)
              .map(entry -> entry.getKey())
              .toList();
      if (!dead.isEmpty()) {
        String name = dead.get(random.nextInt(dead.size()));
        KeyCluster.Node node = cluster.join(name, ++incarnations);
        updateViewsWithDelays(Duration.ZERO, node, Member.State.ALIVE);
      }
    }

    /** Changes the view of each running instance after a random delay of its own. */
    private void updateViewsWithDelays(
        Duration delay, KeyCluster.Node changed, Member.State state) {
      for (KeyCluster.Node observer : cluster.nodes.values()) {
        Duration updateDelay = delay.plusMillis(random.nextInt(MAX_VIEW_DELAY_MILLIS));
        var unused =
            cluster.timer.after(
                updateDelay,
                () -> {
                  boolean current = cluster.nodes.get(nameOf(changed)) == changed;
                  boolean receivesUpdate =
                      observer.running && !observer.paused && observer != changed;
                  if (current && receivesUpdate) {
                    observer.updateView(changed.member.withState(state));
                  }
                });
      }
    }

    private Optional<KeyCluster.Node> randomRunningNode(boolean unpaused) {
      List<KeyCluster.Node> candidates =
          cluster.nodes.values().stream()
              .filter(node -> node.running && node.paused != unpaused)
              .toList();
      return candidates.isEmpty()
          ? Optional.empty()
          : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private static String nameOf(KeyCluster.Node node) {
      return node.member.id().value();
    }
  }
}
