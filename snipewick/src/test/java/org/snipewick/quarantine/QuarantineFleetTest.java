package org.snipewick.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.identity.EndpointId;

/**
 * Plays requests of which some contain a part that crashes endpoints, at many instances, in virtual
 * time: one in ten of the crashing requests' other parts and callers are shared with sound ones.
 */
class QuarantineFleetTest {
  private static final Duration CONTACT = Duration.ofSeconds(3);
  private static final int SOUND_PARTS = 40;

  private final SplittableRandom random = new SplittableRandom(20261205);
  private final FleetFake fleet = new FleetFake();
  private final List<Duration> sends = new ArrayList<>();
  private final List<Duration> crashes = new ArrayList<>();
  private int nextEndpoint;
  private int soundRequests;
  private int soundRefusals;

  @ParameterizedTest
  @CsvSource({"8, 2", "8, 20", "95, 5", "340, 25"})
  void shouldStopSendingPartWhenCrashesAreSpreadOverInstances(int instances, int badPerSecond) {
    fleet.start(instances);
    play(Duration.ofSeconds(20), badPerSecond);
    assertThat(sendsAfterFifthCrash()).isLessThanOrEqualTo(3);
    assertThat(soundRequests).isGreaterThan(500);
    assertThat(soundRefusals).isZero();
    assertThat(fleet.writes()).isLessThan(instances * 5);
  }

  @Test
  void shouldKnowPartWhenAllProcessesWereKilled() {
    fleet.start(8);
    play(Duration.ofSeconds(6), 2);
    int sent = sends.size();
    fleet.restartAll();
    play(Duration.ofSeconds(10), 5);
    assertThat(sends).hasSize(sent);
    assertThat(soundRefusals).isZero();
  }

  /** Guards against evidence that is lost with the rows of a restored store. */
  @Test
  void shouldKnowPartWhenStoreIsRestoredWithoutEvidence() {
    fleet.start(8);
    play(Duration.ofSeconds(6), 2);
    final int sent = sends.size();
    fleet.restoreStoreWithoutRows();
    play(Duration.ofSeconds(2), 5);
    fleet.restartAll();
    play(Duration.ofSeconds(8), 5);
    assertThat(sends).hasSize(sent);
    assertThat(soundRefusals).isZero();
  }

  @Test
  void shouldKnowPartWhenProcessesAreKilledAgainAndAgain() {
    fleet.start(8);
    for (int round = 0; round < 10; round++) {
      play(Duration.ofSeconds(2), 2);
      fleet.restart(round % 8);
    }
    assertThat(sendsAfterFifthCrash()).isLessThanOrEqualTo(3);
  }

  @Test
  void shouldKnowPartWhenInstanceIsAdded() {
    fleet.start(8);
    play(Duration.ofSeconds(6), 2);
    fleet.add();
    fleet.advance(Duration.ofMillis(100));
    assertThat(fleet.quarantine(8).find(SharedParts.parse("sound-0:9,bad:9,own:9"))).isPresent();
    assertThat(fleet.quarantine(8).find(SharedParts.parse("sound-0:9,own:9"))).isEmpty();
  }

  @Test
  void shouldConvictAndTellOthersLaterWhenInstanceCannotReachStore() {
    fleet.start(8);
    fleet.disconnect(0);
    for (int crash = 0; crash < 4; crash++) {
      fleet.quarantine(0).recordBrokenResponse(endpoint(), 1, parts("bad"));
      fleet.advance(Duration.ofMillis(300));
    }
    assertThat(fleet.quarantine(0).find(parts("bad"))).isPresent();
    assertThat(fleet.quarantine(1).find(parts("bad"))).isEmpty();
    fleet.connect(0);
    fleet.advance(CONTACT);
    assertThat(fleet.quarantine(1).find(parts("bad"))).isPresent();
  }

  @Test
  void shouldBlameNobodyWhenEndpointsCrashWithoutRequestToBlame() {
    fleet.start(8);
    for (int second = 0; second < 30; second++) {
      play(Duration.ofSeconds(1), 0);
      int simultaneous = second % 10 == 0 ? 6 : 1;
      IntStream.range(0, simultaneous).forEach(crash -> crashWithSoundRequests());
    }
    play(Duration.ofSeconds(5), 0);
    assertThat(soundRefusals).isZero();
  }

  @Test
  void shouldBlameNobodyWhenOnlyConnectionsWereLost() {
    fleet.start(1);
    for (int reset = 0; reset < 6; reset++) {
      EndpointId endpoint = endpoint();
      fleet.quarantine(0).recordBrokenResponse(endpoint, 1, parts("rare"));
      fleet.advance(Duration.ofMillis(100));
      fleet.quarantine(0).recordResponse(endpoint, 1, fleet.nanoTime());
    }
    assertThat(fleet.quarantine(0).isSuspected(parts("rare"))).isFalse();
  }

  @Test
  void shouldReleasePartWhenRequestThatWasUnderWayIsAnswered() {
    fleet.start(8);
    for (int crash = 0; crash < 3; crash++) {
      fleet.quarantine(crash).recordBrokenResponse(endpoint(), 1, parts("hot"));
      fleet.advance(Duration.ofMillis(600));
    }
    assertThat(fleet.quarantine(7).find(parts("hot"))).isPresent();
    fleet.quarantine(5).recordAnswer(parts("hot"));
    fleet.advance(CONTACT);
    assertThat(fleet.quarantine(7).find(parts("hot"))).isEmpty();
  }

  @Test
  void shouldReleasePartWhenOperatorClearsIt() {
    fleet.start(8);
    play(Duration.ofSeconds(6), 2);
    assertThat(fleet.quarantine(3).find(parts("bad"))).isPresent();
    fleet.putRow("operator", "{\"answered\":{\"bad\":" + fleet.epochMillis() + "}}");
    fleet.advance(CONTACT);
    assertThat(fleet.quarantine(3).find(parts("bad"))).isEmpty();
  }

  @Test
  void shouldKeepVerdictsWhenRowsAreMalformed() {
    fleet.start(8);
    play(Duration.ofSeconds(6), 2);
    fleet.putRow("odd", "[".repeat(100_000));
    fleet.putRow("odder", "{\"crashes\":[{\"endpoint\":\"\",\"at\":1e400}]}");
    fleet.putRow("front-99", "{\"answered\":[1,2],\"crashes\":{\"a\":7}}");
    fleet.advance(CONTACT);
    assertThat(fleet.quarantine(3).find(parts("bad"))).isPresent();
  }

  /** Plays requests in steps of 10 ms; a crashing one takes its endpoint down 200 ms later. */
  private void play(Duration duration, int badPerSecond) {
    Duration step = Duration.ofMillis(10);
    for (long steps = duration.dividedBy(step); steps > 0; steps--) {
      if (random.nextInt(100) < badPerSecond) {
        sendBad();
      }
      for (int request = 0; request < 3; request++) {
        sendSound();
      }
      fleet.advance(step);
    }
  }

  private void sendBad() {
    Quarantine instance = randomInstance();
    SharedParts parts = SharedParts.parse(randomSoundPart() + ":60,bad:100,own:10");
    if (instance.find(parts).isEmpty()) {
      sends.add(fleet.elapsed());
      EndpointId endpoint = endpoint();
      fleet.after(
          Duration.ofMillis(200),
          () -> {
            crashes.add(fleet.elapsed());
            instance.recordBrokenResponse(endpoint, 1, parts);
            breakSoundRequests(endpoint);
          });
    }
  }

  private void sendSound() {
    Quarantine instance = randomInstance();
    SharedParts parts = SharedParts.parse(randomSoundPart() + ":60,own:10");
    soundRequests++;
    if (instance.find(parts).isPresent()) {
      soundRefusals++;
    } else {
      fleet.after(Duration.ofMillis(500), () -> instance.recordAnswer(parts));
    }
  }

  private void crashWithSoundRequests() {
    breakSoundRequests(endpoint());
  }

  private void breakSoundRequests(EndpointId endpoint) {
    for (int request = 0; request < 4; request++) {
      randomInstance()
          .recordBrokenResponse(endpoint, 1, SharedParts.parse(randomSoundPart() + ":60,own:10"));
    }
  }

  private long sendsAfterFifthCrash() {
    if (crashes.size() < 5) {
      return 0;
    }
    Duration bound = crashes.get(4).plus(CONTACT);
    return sends.stream().filter(sent -> sent.compareTo(bound) > 0).count();
  }

  private Quarantine randomInstance() {
    return fleet.quarantine(random.nextInt(fleet.size()));
  }

  private String randomSoundPart() {
    return "sound-" + random.nextInt(SOUND_PARTS);
  }

  private EndpointId endpoint() {
    return EndpointId.of("e-" + nextEndpoint++);
  }

  private static SharedParts parts(String shared) {
    return SharedParts.parse(shared + ":9,own:9");
  }
}
