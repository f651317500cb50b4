package org.snipewick.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.store.ListedInstance;
import org.snipewick.time.VirtualTimerService;

class EndpointDirectoryTest {
  private static final String[] MEMBERS = {"a.1", "a.2", "a.3"};

  private final VirtualTimerService timer = VirtualTimerService.of(1_000);
  private final InMemoryPeers peers = new InMemoryPeers(timer, Duration.ofMillis(1));
  private final Map<String, SettableMembership> memberships = new HashMap<>();
  private final Map<String, List<String>> notifiedEndpointIds = new HashMap<>();
  private boolean platformUnavailable;
  private List<ListedInstance> listed = List.of(endpoint("engine-1", "a"), endpoint("x", "b"));
  private int reads;

  @Test
  void shouldReadListOnceForDomainWhenDomainHasSeveralMembers() {
    start(MEMBERS);
    timer.advance(Duration.ofSeconds(10));
    assertThat(reads).isLessThanOrEqualTo(10);
    assertThat(notifiedEndpointIds.values())
        .hasSize(3)
        .allSatisfy(ids -> assertThat(ids).contains("engine-1"));
    assertThat(notifiedEndpointIds.values()).allSatisfy(ids -> assertThat(ids).doesNotContain("x"));
  }

  @Test
  void shouldNotifyAllMembersWithinTwoSecondsWhenEndpointIsAdded() {
    start(MEMBERS);
    timer.advance(Duration.ofSeconds(5));
    listed = List.of(endpoint("engine-1", "a"), endpoint("engine-2", "a"));
    timer.advance(Duration.ofSeconds(2));
    assertThat(notifiedEndpointIds.values())
        .allSatisfy(ids -> assertThat(ids).contains("engine-2"));
  }

  @Test
  void shouldNotifyNewMemberWhenPlatformIsUnavailable() {
    start("a.1", "a.2");
    timer.advance(Duration.ofSeconds(5));
    platformUnavailable = true;
    start("a.3");
    memberships.get("a.3").setView(SettableMembership.viewOf("a.3", MEMBERS));
    for (String name : List.of("a.1", "a.2")) {
      memberships.get(name).setView(SettableMembership.viewOf(name, MEMBERS));
    }
    timer.advance(Duration.ofSeconds(1));
    assertThat(notifiedEndpointIds.get("a.3")).contains("engine-1");
  }

  @Test
  void shouldSendAgainWhenMessagesWereLost() {
    start(MEMBERS);
    peers.cut(InstanceId.of("a.1"), InstanceId.of("a.2"));
    peers.cut(InstanceId.of("a.2"), InstanceId.of("a.3"));
    peers.cut(InstanceId.of("a.1"), InstanceId.of("a.3"));
    timer.advance(Duration.ofSeconds(3));
    peers.heal(InstanceId.of("a.1"), InstanceId.of("a.2"));
    peers.heal(InstanceId.of("a.2"), InstanceId.of("a.3"));
    peers.heal(InstanceId.of("a.1"), InstanceId.of("a.3"));
    timer.advance(Duration.ofSeconds(3));
    assertThat(notifiedEndpointIds.values())
        .allSatisfy(ids -> assertThat(ids).contains("engine-1"));
  }

  private void start(String... names) {
    for (String name : names) {
      InstanceId id = InstanceId.of(name);
      SettableMembership membership =
          new SettableMembership(SettableMembership.viewOf(name, names));
      memberships.put(name, membership);
      notifiedEndpointIds.put(name, new ArrayList<>());
      EndpointDirectory.start(membership, this::list, peers.join(id), timer)
          .subscribe(
              pool ->
                  pool.endpoints()
                      .forEach(endpoint -> notifiedEndpointIds.get(name).add(endpoint.id())));
    }
  }

  private CompletableFuture<List<ListedInstance>> list() {
    reads++;
    return platformUnavailable
        ? CompletableFuture.failedFuture(
            Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "unavailable").toException())
        : CompletableFuture.completedFuture(listed);
  }

  private static ListedInstance endpoint(String id, String domain) {
    return new ListedInstance(
        id,
        ListedInstance.Kind.ENDPOINT,
        FailureDomain.of(domain),
        "127.0.0.1",
        1,
        "planner",
        ListedInstance.State.LIVE);
  }
}
