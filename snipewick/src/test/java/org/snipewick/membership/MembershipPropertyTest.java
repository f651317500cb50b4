package org.snipewick.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

class MembershipPropertyTest {
  private static final List<String> NAMES = List.of("wien.1", "wien.2", "wien.3", "linz.1");

  enum Kind {
    PAUSE,
    RESUME,
    CRASH,
    START,
    CUT,
    HEAL,
    WAIT
  }

  record Step(Kind kind, String name, int millis) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.of(NAMES),
            Arbitraries.integers().between(1, 4_000))
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(12);
  }

  @Property(tries = 40, seed = "42", shrinking = ShrinkingMode.BOUNDED)
  void shouldHaveEveryRunningMemberAliveInViewsWhenFaultsEnd(@ForAll("steps") List<Step> steps) {
    Cluster cluster = Cluster.of(5);
    cluster.addToList(NAMES.toArray(String[]::new));
    cluster.start(NAMES.toArray(String[]::new));
    cluster.advance(Duration.ofSeconds(10));
    Set<String> paused = new TreeSet<>();
    for (Step step : steps) {
      apply(cluster, step, paused);
      cluster.advance(Duration.ofMillis(step.millis()));
      for (String name : paused) {
        if (step.millis() > 1_000 && step.kind() == Kind.PAUSE && step.name().equals(name)) {
          assertThat(cluster.node(name).membership().isActive()).as(name).isFalse();
        }
      }
    }
    cluster.heal("wien", "linz");
    for (String name : paused) {
      cluster.resume(name);
    }
    cluster.advance(Duration.ofSeconds(30));
    for (Cluster.Node node : cluster.nodes()) {
      String observer = node.id().value();
      assertThat(node.membership().isActive()).as(observer + " is active").isTrue();
      for (String member : NAMES) {
        boolean runs = cluster.node(member) != null;
        String state = cluster.stateInViewOf(observer, member);
        if (runs) {
          assertThat(state).as(member + " in the view of " + observer).isEqualTo("ALIVE");
        } else {
          assertThat(state).as(member + " in the view of " + observer).isIn("DEAD", "-");
        }
      }
    }
  }

  private static void apply(Cluster cluster, Step step, Set<String> paused) {
    String name = step.name();
    boolean runs = cluster.node(name) != null;
    switch (step.kind()) {
      case PAUSE -> {
        if (runs && paused.add(name)) {
          cluster.pause(name);
        }
      }
      case RESUME -> {
        if (paused.remove(name)) {
          cluster.resume(name);
        }
      }
      case CRASH -> {
        if (runs && !paused.contains(name)) {
          cluster.crash(name);
        }
      }
      case START -> {
        if (!runs) {
          cluster.start(name);
        }
      }
      case CUT -> cluster.cut("wien", "linz");
      case HEAL -> cluster.heal("wien", "linz");
      default -> {}
    }
  }
}
